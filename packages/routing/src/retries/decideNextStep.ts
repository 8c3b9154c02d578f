import { NextStep, SendFailure } from './enums.js';

/** What a decision after a failed send depends on. */
export interface SendHistory {
  readonly failure: SendFailure;
  /** Safe requests and streams that may be resumed. */
  readonly isRepeatable: boolean;
  /** Workers that may have begun to run the request. */
  readonly runs: number;
  readonly maxRuns: number;
  /** Sends so far, with those that were rejected. */
  readonly sends: number;
  /** Time left for the caller, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the retry budget of the service allows one more send. */
  readonly hasBudget: boolean;
}

/** Sends of one request, with rejected ones: a bound against storms when all workers are full. */
export const MAX_SENDS = 4;

/** Below this time left, a further send could not be answered, in milliseconds: a few round trips. */
const MIN_REMAINING_MS = 25;

const RUN_MAY_HAVE_BEGUN: ReadonlySet<SendFailure> = new Set([
  SendFailure.Broken,
  SendFailure.Silent,
  SendFailure.ErrorAnswer,
]);

/**
 * Tells whether a failed send may have been run by its worker.
 *
 * @param failure - how the send ended
 * @returns false only where it certainly was not run
 */
export const canHaveRun = (failure: SendFailure): boolean => RUN_MAY_HAVE_BEGUN.has(failure);

/**
 * Decides what follows a failed send. Work that may not be repeated is sent again only where no
 * worker can have begun it; answers that say "not run" are given only then, too.
 *
 * Load pattern: workers that fail or reject in series while callers repeat as well.
 *
 * @param history - what happened so far
 * @returns the next step
 */
export const decideNextStep = (history: SendHistory): NextStep => {
  const finalStep = history.runs === 0 ? NextStep.RefuseNotRun : NextStep.Fail;
  if (history.remainingMs < MIN_REMAINING_MS || history.sends >= MAX_SENDS) return finalStep;
  if (history.runs > 0 && !history.isRepeatable) return finalStep;
  if (history.runs >= history.maxRuns) return finalStep;
  // A connection that never stood brings nothing to the worker, so it draws on no budget.
  if (history.failure === SendFailure.NotSent) return NextStep.SendAgain;
  return history.hasBudget ? NextStep.SendAgain : finalStep;
};
