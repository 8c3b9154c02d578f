import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode, RunState } from '@sardinegrade/common';
import fc from 'fast-check';

import { createRandomSource } from '../random.js';
import { computeBackoffMs } from './computeBackoffMs.js';
import { decideRetry } from './decideRetry.js';
import { RetryVerdict } from './enums.js';
import { RetryBudget } from './RetryBudget.js';

import type { FailedAttempt } from './types.js';

const SEED = 20261204;

const FAILED: FailedAttempt = {
  mayHaveStarted: true,
  isRepeatable: false,
  canResume: false,
  attempts: 1,
  attemptLimit: 3,
  deadlineAtMs: 10_000,
  previousDelayMs: 0,
  code: ResultCode.UpstreamFailed,
};

const decide = (change: Partial<FailedAttempt>, share = 0.1) =>
  decideRetry(
    { ...FAILED, ...change },
    { budget: new RetryBudget(share, 0), nowMs: 0, random: createRandomSource(SEED) },
  );

test('a call that may have started and is not repeatable is never retried', () => {
  const property = fc.property(fc.nat(5), fc.nat(20_000), (attempts, deadlineAtMs) => {
    const decision = decide({ attempts, deadlineAtMs });
    assert.ok(decision.verdict === RetryVerdict.Stop);
    assert.equal(decision.run, RunState.Unknown);
  });
  fc.assert(property, { seed: SEED });
});

test('only calls that did not start are reported as not run', () => {
  const property = fc.property(
    fc.record({
      mayHaveStarted: fc.boolean(),
      isRepeatable: fc.boolean(),
      canResume: fc.boolean(),
      attempts: fc.nat(5),
      deadlineAtMs: fc.nat(100),
    }),
    (change) => {
      const decision = decide(change);
      if (decision.verdict !== RetryVerdict.Stop) return;
      assert.equal(decision.run === RunState.NotRun, !change.mayHaveStarted);
    },
  );
  fc.assert(property, { seed: SEED });
});

test('a resumable answer is resumed, and no retry starts after the deadline or the attempt limit', () => {
  assert.equal(decide({ canResume: true }).verdict, RetryVerdict.Resume);
  assert.equal(decide({ isRepeatable: true }).verdict, RetryVerdict.Repeat);
  assert.equal(decide({ isRepeatable: true, deadlineAtMs: 10 }).verdict, RetryVerdict.Stop);
  assert.equal(decide({ isRepeatable: true, attempts: 3 }).verdict, RetryVerdict.Stop);
});

test('retries do not exceed their share of first attempts plus the accumulated ones', () => {
  const budget = new RetryBudget(0.1, 0);
  let taken = 0;
  for (let call = 0; call < 1_000; call += 1) {
    budget.recordFirstAttempt();
    if (budget.claim(0)) taken += 1;
  }
  assert.ok(taken <= 0.1 * 1_000 + 20, String(taken));
  assert.ok(taken >= 0.1 * 1_000 - 1, String(taken));
});

test('an exhausted budget stops a retry with its own result code', () => {
  const budget = new RetryBudget(0, 0);
  while (budget.claim(0));
  const context = { budget, nowMs: 0, random: createRandomSource(1) };
  const decision = decideRetry({ ...FAILED, isRepeatable: true }, context);
  assert.ok(decision.verdict === RetryVerdict.Stop);
  assert.equal(decision.code, ResultCode.RetryBudgetSpent);
});

test('the backoff is between its base and its limit and grows by at most a factor of three', () => {
  const random = createRandomSource(SEED);
  let previous = 0;
  for (let step = 0; step < 200; step += 1) {
    const delayMs = computeBackoffMs(previous, random);
    assert.ok(delayMs >= 20 && delayMs <= 2_000);
    assert.ok(previous === 0 || delayMs <= Math.max(20, previous * 3) + 1);
    previous = delayMs;
  }
});
