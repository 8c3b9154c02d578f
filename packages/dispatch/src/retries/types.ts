import type { ResultCode, RunState } from '@sardinegrade/common';
import type { RandomSource } from '../types.js';
import type { RetryVerdict } from './enums.js';
import type { RetryBudget } from './RetryBudget.js';

/** What is known of a failed attempt. */
export interface FailedAttempt {
  /** Whether the upstream may have begun to run it. */
  readonly mayHaveStarted: boolean;
  /** Whether the call may run twice without harm. */
  readonly isRepeatable: boolean;
  /** Whether the answer can go on at the next token on another upstream. */
  readonly canResume: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  readonly attemptLimit: number;
  readonly deadlineAtMs: number;
  /** The wait before this attempt; 0 before the first. */
  readonly previousDelayMs: number;
  /** The code that tells the caller of the failure itself. */
  readonly code: ResultCode;
}

/** What a retry decision depends on besides. */
export interface RetryContext {
  readonly budget: RetryBudget;
  readonly nowMs: number;
  readonly random: RandomSource;
}

/** What is to be done after a failed attempt. */
export type RetryDecision =
  | { readonly verdict: RetryVerdict.Repeat | RetryVerdict.Resume; readonly delayMs: number }
  | {
      readonly verdict: RetryVerdict.Stop;
      readonly code: ResultCode;
      /** What the caller may be told of the call. */
      readonly run: RunState;
    };
