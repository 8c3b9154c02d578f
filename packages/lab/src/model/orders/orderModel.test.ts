import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { orderSchedules } from './orderSchedules.js';
import { runOrderSchedule } from './runOrderSchedule.js';

import type { OrderModelOptions } from './runOrderSchedule.js';
import type { OrderVerdict } from './types.js';

const SCHEDULE_COUNT = 10_000;
const SCHEDULE_SEED = 20_261;
const DIFFERENTIAL_SCHEDULE_COUNT = 400;
const DIFFERENTIAL_SEED = 7;

const pickContradictionCounts = (verdict: OrderVerdict) => {
  const { runTwice, lost, falseNotRun, differingAnswers, unsettled } = verdict;
  return { runTwice, lost, falseNotRun, differingAnswers, unsettled };
};

const NO_CONTRADICTIONS = {
  runTwice: 0,
  lost: 0,
  falseNotRun: 0,
  differingAnswers: 0,
  unsettled: 0,
};

const runSampledSchedules = async (
  options: OrderModelOptions,
  schedules: number,
): Promise<OrderVerdict[]> => {
  const samples = fc.sample(orderSchedules, { numRuns: schedules, seed: DIFFERENTIAL_SEED });
  const verdicts: OrderVerdict[] = [];
  for (const schedule of samples) verdicts.push(await runOrderSchedule(schedule, options));
  return verdicts;
};

const countTotal = (verdicts: readonly OrderVerdict[], field: keyof OrderVerdict): number =>
  verdicts.reduce((total, verdict) => total + verdict[field], 0);

test('in every schedule, orders run at most once, none is lost and no "not run" result is false', async () => {
  const property = fc.asyncProperty(orderSchedules, async (schedule) => {
    assert.deepEqual(pickContradictionCounts(await runOrderSchedule(schedule)), NO_CONTRADICTIONS);
  });
  await fc.assert(property, { numRuns: SCHEDULE_COUNT, seed: SCHEDULE_SEED });
});

test('the model detects the faults of the naive implementation', async () => {
  const verdicts = await runSampledSchedules({ isNaive: true }, DIFFERENTIAL_SCHEDULE_COUNT);
  assert.ok(countTotal(verdicts, 'runTwice') > 0);
  assert.ok(countTotal(verdicts, 'falseNotRun') > 0);
  assert.ok(countTotal(verdicts, 'differingAnswers') > 0);
});

test('the model detects a call that skips the check of its call window', async () => {
  const verdicts = await runSampledSchedules(
    { ignoresCallWindow: true },
    5 * DIFFERENTIAL_SCHEDULE_COUNT,
  );
  assert.ok(countTotal(verdicts, 'runTwice') > 0);
});

test('the schedules contain crashes, pauses and executions', async () => {
  const verdicts = await runSampledSchedules({}, DIFFERENTIAL_SCHEDULE_COUNT);
  for (const field of ['crashes', 'pauses', 'executions'] as const) {
    assert.ok(countTotal(verdicts, field) > DIFFERENTIAL_SCHEDULE_COUNT / 2, field);
  }
});
