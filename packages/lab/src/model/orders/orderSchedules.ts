import fc from 'fast-check';

import type { FaultChances, OrderSchedule } from './types.js';

const PERIOD_MS = 200_000;

/** Generates a probability: 0 and the rare value with weight 3 each, the frequent one with weight 1. */
const buildChance = (rare: number, frequent: number): fc.Arbitrary<number> =>
  fc.oneof(
    { arbitrary: fc.constant(0), weight: 3 },
    { arbitrary: fc.constant(rare), weight: 3 },
    { arbitrary: fc.constant(frequent), weight: 1 },
  );

const chances: fc.Arbitrary<FaultChances> = fc.record({
  refused: buildChance(0.02, 0.3),
  lostAnswer: buildChance(0.05, 0.4),
  lostWrite: buildChance(0.05, 0.4),
  delayedWrite: buildChance(0.05, 0.3),
  duplicatedWrite: buildChance(0.1, 0.4),
  slow: buildChance(0.05, 0.4),
  pause: buildChance(0.01, 0.05),
  pauseBeforeCall: buildChance(0.1, 0.5),
  crash: buildChance(0.005, 0.03),
  notConnected: buildChance(0.1, 0.4),
  lostServiceAnswer: buildChance(0.1, 0.4),
  lostCall: buildChance(0.1, 0.4),
  slowCall: buildChance(0.1, 0.4),
});

const submission = fc.record({
  // Half of the requests fall into the first 3 s, so that repeated requests arrive while the order is in progress.
  atMs: fc.oneof(fc.integer({ min: 0, max: 3_000 }), fc.integer({ min: 0, max: PERIOD_MS })),
  key: fc.integer({ min: 1, max: 3 }),
  daemon: fc.integer({ min: 0, max: 2 }),
  isBroadcast: fc.boolean(),
});

const outage = fc.record({
  atMs: fc.oneof(fc.integer({ min: 0, max: 3_000 }), fc.integer({ min: 0, max: PERIOD_MS })),
  durationMs: fc.integer({ min: 10, max: 60_000 }),
});

/** Generates random schedules; the simplest value of each field comes first, so that fast-check can shrink a failing one. */
export const orderSchedules: fc.Arbitrary<OrderSchedule> = fc.record({
  seed: fc.nat(),
  daemons: fc.integer({ min: 1, max: 3 }),
  concurrency: fc.integer({ min: 1, max: 3 }),
  hasLookup: fc.boolean(),
  chances,
  submissions: fc.array(submission, { minLength: 1, maxLength: 10 }),
  outages: fc.array(outage, { maxLength: 2 }),
  operatorAtMs: fc.array(fc.integer({ min: 0, max: PERIOD_MS }), { maxLength: 5 }),
});
