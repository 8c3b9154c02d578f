import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { orderSchedules } from './orderSchedules.js';
import { runOrderSchedule } from './runOrderSchedule.js';

import type { OrderModelOptions } from './runOrderSchedule.js';
import type { OrderVerdict } from './types.js';

const SCHEDULES = 10_000;
const SCHEDULE_SEED = 20_261;
const DIFFERENTIAL_SCHEDULES = 400;
const DIFFERENTIAL_SEED = 7;

const getContradictions = (verdict: OrderVerdict) => {
  const { runTwice, lost, falseNotRun, differingAnswers, unsettled } = verdict;
  return { runTwice, lost, falseNotRun, differingAnswers, unsettled };
};

const NONE = { runTwice: 0, lost: 0, falseNotRun: 0, differingAnswers: 0, unsettled: 0 };

const runAll = async (options: OrderModelOptions, schedules: number): Promise<OrderVerdict[]> => {
  const samples = fc.sample(orderSchedules, { numRuns: schedules, seed: DIFFERENTIAL_SEED });
  const verdicts: OrderVerdict[] = [];
  for (const schedule of samples) verdicts.push(await runOrderSchedule(schedule, options));
  return verdicts;
};

const countAll = (verdicts: readonly OrderVerdict[], field: keyof OrderVerdict): number =>
  verdicts.reduce((total, verdict) => total + verdict[field], 0);

test('orders run at most once, none is lost and no "not run" is false in any schedule', async () => {
  const property = fc.asyncProperty(orderSchedules, async (schedule) => {
    assert.deepEqual(getContradictions(await runOrderSchedule(schedule)), NONE);
  });
  await fc.assert(property, { numRuns: SCHEDULES, seed: SCHEDULE_SEED });
});

test('the same model finds the naive version at fault', async () => {
  const verdicts = await runAll({ isNaive: true }, DIFFERENTIAL_SCHEDULES);
  assert.ok(countAll(verdicts, 'runTwice') > 0);
  assert.ok(countAll(verdicts, 'falseNotRun') > 0);
  assert.ok(countAll(verdicts, 'differingAnswers') > 0);
});

test('the same model finds a call without the check of its window', async () => {
  const verdicts = await runAll({ ignoresCallWindow: true }, 5 * DIFFERENTIAL_SCHEDULES);
  assert.ok(countAll(verdicts, 'runTwice') > 0);
});

test('the schedules reach crashes, pauses and resends', async () => {
  const verdicts = await runAll({}, DIFFERENTIAL_SCHEDULES);
  for (const field of ['crashes', 'pauses', 'executions'] as const) {
    assert.ok(countAll(verdicts, field) > DIFFERENTIAL_SCHEDULES / 2, field);
  }
});
