import type { ResultCode, RunState } from '@sardinegrade/common';
import type { RandomSource } from '../types.js';
import type { RetryVerdict } from './enums.js';
import type { RetryBudget } from './RetryBudget.js';

/** State of a failed attempt. */
export interface FailedAttempt {
  /** Whether the upstream may have started to run it. */
  readonly mayHaveStarted: boolean;
  /** Whether the call may safely run twice. */
  readonly isRepeatable: boolean;
  /** Whether another upstream can continue the answer at the next token. */
  readonly canResume: boolean;
  /** Attempts made so far. */
  readonly attempts: number;
  readonly attemptLimit: number;
  readonly deadlineAtMs: number;
  /** The delay before this attempt, in milliseconds; 0 for the first. */
  readonly previousDelayMs: number;
  /** Result code that reports the failure to the caller. */
  readonly code: ResultCode;
}

/** Context of a retry decision. */
export interface RetryContext {
  readonly budget: RetryBudget;
  readonly nowMs: number;
  readonly random: RandomSource;
}

/** Whether and how a failed attempt is retried. */
export type RetryDecision =
  | { readonly verdict: RetryVerdict.Repeat | RetryVerdict.Resume; readonly delayMs: number }
  | {
      readonly verdict: RetryVerdict.Stop;
      readonly code: ResultCode;
      /** Whether the call has run, for the answer to the caller. */
      readonly run: RunState;
    };
