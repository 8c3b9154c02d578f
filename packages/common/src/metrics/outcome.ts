import { ResultCode } from '../errors/index.js';
import { RequestOutcome } from './enums.js';

const OUTCOME_BY_THOUSAND: Readonly<Record<number, RequestOutcome>> = {
  1: RequestOutcome.Invalid,
  2: RequestOutcome.Refused,
};

const THOUSAND = 1_000;

/** Ends that say nothing about how well the system served: the caller left or sent what cannot be served. */
const OUTSIDE_ATTAINMENT: ReadonlySet<ResultCode> = new Set([
  ResultCode.CallerGone,
  ResultCode.Quarantined,
  ResultCode.OrderInProgress,
  ResultCode.OrderBodyMismatch,
  ResultCode.OrderExpired,
  ResultCode.AnswerNotKept,
]);

/**
 * Classifies a request that ended without a whole answer.
 *
 * @param code - the result code it ended with
 * @returns the outcome that metrics count it under
 */
export const toOutcome = (code: ResultCode): RequestOutcome =>
  OUTCOME_BY_THOUSAND[Math.floor(code / THOUSAND)] ?? RequestOutcome.Failed;

/**
 * Tells whether a request that ended without a whole answer lowers its class's attainment.
 *
 * @param code - the result code it ended with
 * @returns false where the caller left or sent what cannot be served
 */
export const isWithinAttainment = (code: ResultCode): boolean =>
  toOutcome(code) !== RequestOutcome.Invalid && !OUTSIDE_ATTAINMENT.has(code);
