import { parseArgs } from 'node:util';

import fc from 'fast-check';

import { orderSchedules } from './orderSchedules.js';
import { hasContradiction, runOrderSchedule } from './runOrderSchedule.js';

const DEFAULT_SCHEDULES = '100000';

/** Runs many schedules, as the test does, and prints the smallest one that fails. */
const checkSchedules = async (): Promise<void> => {
  const { values } = parseArgs({
    options: {
      schedules: { type: 'string', default: DEFAULT_SCHEDULES },
      seed: { type: 'string', default: '1' },
    },
  });
  const property = fc.asyncProperty(
    orderSchedules,
    async (schedule) => !hasContradiction(await runOrderSchedule(schedule)),
  );
  const options = { numRuns: Number(values.schedules), seed: Number(values.seed) };
  const details = await fc.check(property, options);
  const { failed, numRuns, seed, counterexample } = details;
  console.log(JSON.stringify({ ok: !failed, schedules: numRuns, seed, counterexample }));
  process.exitCode = failed ? 1 : 0;
};

await checkSchedules();
