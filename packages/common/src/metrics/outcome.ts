import { ResultCode } from '../errors/index.js';
import { RequestOutcome } from './enums.js';

/** Outcome by the thousands digit of the result code; codes from 3000 on count as failed. */
const OUTCOME_BY_CODE_RANGE: Readonly<Record<number, RequestOutcome>> = {
  1: RequestOutcome.Invalid,
  2: RequestOutcome.Refused,
};

const CODE_RANGE_SIZE = 1_000;

/**
 * Result codes that do not reflect the quality of service: the caller disconnected, the request is
 * quarantined, or it repeats an order that is in progress, differs, has expired or whose answer is
 * not stored.
 */
const CODES_EXCLUDED_FROM_ATTAINMENT: ReadonlySet<ResultCode> = new Set([
  ResultCode.CallerGone,
  ResultCode.Quarantined,
  ResultCode.OrderInProgress,
  ResultCode.OrderBodyMismatch,
  ResultCode.OrderExpired,
  ResultCode.AnswerNotKept,
]);

/**
 * Classifies a request that ended without a complete answer.
 *
 * @param code - result code of the request
 * @returns the value of the `outcome` label in metrics
 */
export const toOutcome = (code: ResultCode): RequestOutcome =>
  OUTCOME_BY_CODE_RANGE[Math.floor(code / CODE_RANGE_SIZE)] ?? RequestOutcome.Failed;

/**
 * Checks whether a request that ended without a complete answer lowers the attainment of its class.
 *
 * @param code - result code of the request
 * @returns false if the failure does not reflect the quality of service
 */
export const isCountedInAttainment = (code: ResultCode): boolean =>
  toOutcome(code) !== RequestOutcome.Invalid && !CODES_EXCLUDED_FROM_ATTAINMENT.has(code);
