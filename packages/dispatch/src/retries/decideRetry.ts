import { ResultCode, RunState } from '@sardinegrade/common';

import { computeBackoffMs } from './computeBackoff.js';
import { RetryVerdict } from './enums.js';

import type { FailedAttempt, RetryContext, RetryDecision } from './types.js';

const buildStop = (attempt: FailedAttempt, code: ResultCode): RetryDecision => ({
  verdict: RetryVerdict.Stop,
  code,
  run: attempt.mayHaveStarted ? RunState.Unknown : RunState.NotRun,
});

/** Resuming wins over repeating, for what the caller has already got must not come again. */
const pickVerdict = (attempt: FailedAttempt): RetryVerdict => {
  if (attempt.canResume) return RetryVerdict.Resume;
  const mayRepeat = !attempt.mayHaveStarted || attempt.isRepeatable;
  return mayRepeat ? RetryVerdict.Repeat : RetryVerdict.Stop;
};

/**
 * Decides what follows a failed attempt: a retry only where the call did not start, is repeatable or can resume,
 * and where attempts, deadline and budget allow it.
 *
 * @param attempt - what is known of the failed attempt
 * @param context - budget, present and random source; a retry is taken out of the budget
 * @returns the retry and its delay, or the truthful answer to the caller
 */
export const decideRetry = (attempt: FailedAttempt, context: RetryContext): RetryDecision => {
  const verdict = pickVerdict(attempt);
  if (verdict === RetryVerdict.Stop) return buildStop(attempt, attempt.code);
  if (attempt.attempts >= attempt.attemptLimit) return buildStop(attempt, attempt.code);
  const delayMs = computeBackoffMs(attempt.previousDelayMs, context.random);
  if (context.nowMs + delayMs >= attempt.deadlineAtMs) return buildStop(attempt, attempt.code);
  if (!context.budget.take(context.nowMs)) return buildStop(attempt, ResultCode.RetryBudgetSpent);
  return { verdict, delayMs };
};
