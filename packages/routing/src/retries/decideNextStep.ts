import { NextStep, SendFailure } from './enums.js';

/** Inputs of the decision after a failed send. */
export interface SendHistory {
  readonly failure: SendFailure;
  /** Whether the request may run more than once: it is safe, or its stream is resumable. */
  readonly isRepeatable: boolean;
  /** Number of sends after which a worker may have started to run the request. */
  readonly runs: number;
  /** Maximum number of runs that the route allows. */
  readonly maxRuns: number;
  /** Number of sends so far, including rejected ones. */
  readonly sends: number;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Whether the retry budget of the service allows another send. */
  readonly hasBudget: boolean;
}

/** Maximum number of sends of one request, including rejected ones: prevents retry storms when all workers are full. */
export const MAX_SENDS = 4;

/** Minimum remaining time for another send, in milliseconds: an answer takes a few round trips. */
const MIN_REMAINING_MS = 25;

const RUN_MAY_HAVE_BEGUN: ReadonlySet<SendFailure> = new Set([
  SendFailure.Broken,
  SendFailure.Silent,
  SendFailure.ErrorAnswer,
  SendFailure.Withdrawn,
]);

const NEVER_LEFT_VM: ReadonlySet<SendFailure> = new Set([
  SendFailure.NotSent,
  SendFailure.Unsendable,
  SendFailure.Excluded,
]);

/**
 * Tells whether a send is charged to the retry budget if another one follows. The worker received nothing of a send that
 * never left this VM.
 *
 * @param failure - why the send failed
 * @returns whether another send needs the budget
 */
export const shouldChargeBudget = (failure: SendFailure): boolean => !NEVER_LEFT_VM.has(failure);

/**
 * Classifies a failure by whether the worker may have run the request.
 *
 * @param failure - why the send failed
 * @returns false only if the request certainly was not run
 */
export const canHaveRun = (failure: SendFailure): boolean => RUN_MAY_HAVE_BEGUN.has(failure);

/**
 * Decides what follows a failed send. A request that may not be repeated is sent again only if no worker can have
 * started it. Likewise, callers are told "not run" only in this case.
 *
 * Load pattern: many workers fail or reject requests while callers retry as well.
 *
 * @param history - failure and previous sends of the request
 * @returns the next step
 */
export const decideNextStep = (history: SendHistory): NextStep => {
  const finalStep = history.runs === 0 ? NextStep.RefuseNotRun : NextStep.Fail;
  if (history.remainingMs < MIN_REMAINING_MS || history.sends >= MAX_SENDS) return finalStep;
  if (history.runs > 0 && !history.isRepeatable) return finalStep;
  if (history.runs >= history.maxRuns) return finalStep;
  if (!shouldChargeBudget(history.failure)) return NextStep.SendAgain;
  return history.hasBudget ? NextStep.SendAgain : finalStep;
};
