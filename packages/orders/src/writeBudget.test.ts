import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createWriteBudget } from './writeBudget.js';

const createBudget = () => {
  const time = { nowMs: 0 };
  const clock = { getNowMs: () => time.nowMs };
  return { time, budget: createWriteBudget({ clock, writesPerSecond: 10, burst: 10 }) };
};

test('the budget is refilled at its rate and estimates the wait until writes are available', () => {
  const { time, budget } = createBudget();
  assert.equal(budget.acquire(10), true);
  assert.equal(budget.acquire(2), false);
  assert.equal(budget.estimateWaitMs(2), 200);
  time.nowMs = 200;
  assert.equal(budget.acquire(2), true);
});

test('refusals by the platform lower the rate, and successful writes raise it again', () => {
  const { time, budget } = createBudget();
  budget.use(10);
  for (let count = 0; count < 20; count += 1) budget.handleRateLimit();
  time.nowMs = 1_000;
  assert.equal(budget.acquire(1), false);
  for (let count = 0; count < 100; count += 1) budget.handleWriteSuccess();
  time.nowMs = 2_000;
  assert.equal(budget.acquire(10), true);
});
