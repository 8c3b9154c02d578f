import { ResultCode, RunState } from '@sardinegrade/common';

import { computeBackoffMs } from './computeBackoffMs.js';
import { RetryVerdict } from './enums.js';

import type { FailedAttempt, RetryContext, RetryDecision } from './types.js';

const buildStop = (attempt: FailedAttempt, code: ResultCode): RetryDecision => ({
  verdict: RetryVerdict.Stop,
  code,
  run: attempt.mayHaveStarted ? RunState.Unknown : RunState.NotRun,
});

/** Prefers resuming to repeating, since tokens that the caller has received must not be sent again. */
const pickVerdict = (attempt: FailedAttempt): RetryVerdict => {
  if (attempt.canResume) return RetryVerdict.Resume;
  const mayRepeat = !attempt.mayHaveStarted || attempt.isRepeatable;
  return mayRepeat ? RetryVerdict.Repeat : RetryVerdict.Stop;
};

/**
 * Decides whether a failed attempt is retried: only if the call did not start, is repeatable or can resume, and if the
 * attempt limit, the deadline and the retry budget allow it.
 *
 * @param attempt - state of the failed attempt
 * @param context - retry budget, current time and random source; a retry is claimed from the budget
 * @returns the kind of retry and its delay, or the result code and whether the call has run
 */
export const decideRetry = (attempt: FailedAttempt, context: RetryContext): RetryDecision => {
  const verdict = pickVerdict(attempt);
  if (verdict === RetryVerdict.Stop) return buildStop(attempt, attempt.code);
  if (attempt.attempts >= attempt.attemptLimit) return buildStop(attempt, attempt.code);
  const delayMs = computeBackoffMs(attempt.previousDelayMs, context.random);
  if (context.nowMs + delayMs >= attempt.deadlineAtMs) return buildStop(attempt, attempt.code);
  if (!context.budget.claim(context.nowMs)) return buildStop(attempt, ResultCode.RetryBudgetSpent);
  return { verdict, delayMs };
};
