import { ResultCode, RunState, SardinegradeError } from '@sardinegrade/common';

import {
  IN_PROGRESS_RETRY_AFTER_MS,
  PLATFORM_RETRY_AFTER_MS,
  UNKNOWN_RETRY_AFTER_MS,
} from './constants.js';

const createError = (
  code: ResultCode,
  run: RunState,
  message: string,
  retryAfterMs?: number,
  cause?: unknown,
): SardinegradeError =>
  new SardinegradeError(code, message, {
    run,
    cause,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });

/** @returns the error for an order that is in progress */
export const createInProgressError = (): SardinegradeError =>
  createError(
    ResultCode.OrderInProgress,
    RunState.Unknown,
    'The order is in progress; ask again with the same key.',
    IN_PROGRESS_RETRY_AFTER_MS,
  );

/** @returns the error for an order that may or may not have been carried out */
export const createUnknownError = (): SardinegradeError =>
  createError(
    ResultCode.OrderUnknown,
    RunState.Unknown,
    'It is not known whether the order was carried out. It will not be run again before that is settled.',
    UNKNOWN_RETRY_AFTER_MS,
  );

/**
 * Creates the error for a record that cannot be parsed. Its order is neither run nor settled.
 *
 * @param name - the record's name
 * @param cause - the parse error
 * @returns the error
 */
export const createUnreadableError = (name: string, cause: unknown): SardinegradeError =>
  createError(
    ResultCode.OrderUnknown,
    RunState.Unknown,
    `The record '${name}' cannot be read; an operator has to look into it.`,
    undefined,
    cause,
  );

/** @returns the error for a key that was already used with another request */
export const createMismatchError = (): SardinegradeError =>
  createError(
    ResultCode.OrderBodyMismatch,
    RunState.NotRun,
    'The key was used for another request.',
  );

/** @returns the error for a repeated request whose answer is past its retention period */
export const createExpiredError = (): SardinegradeError =>
  createError(
    ResultCode.OrderExpired,
    RunState.Run,
    'The order was carried out; its answer is past its retention.',
  );

/** @returns the error for a repeated request whose answer was not stored */
export const createAnswerNotKeptError = (): SardinegradeError =>
  createError(
    ResultCode.AnswerNotKept,
    RunState.Run,
    'The order was carried out; its answer was not kept.',
  );

/**
 * @param waitMs - time until the write budget has enough writes for an order
 * @returns the error for an order refused before its first write
 */
export const createWriteBudgetError = (waitMs: number): SardinegradeError =>
  createError(
    ResultCode.WriteBudgetSpent,
    RunState.NotRun,
    'Too many orders at this VM.',
    Math.max(1, waitMs),
  );

/** @returns the error for an order refused because the queue of its service is full */
export const createQueueFullError = (): SardinegradeError =>
  createError(
    ResultCode.QueueFull,
    RunState.NotRun,
    'Too many orders wait for the service.',
    IN_PROGRESS_RETRY_AFTER_MS,
  );

/**
 * @param run - whether the order was carried out
 * @param cause - the platform client's error
 * @returns the error for an order that the platform could not record
 */
export const createPlatformError = (run: RunState, cause: unknown): SardinegradeError =>
  createError(
    ResultCode.PlatformUnavailable,
    run,
    'The order could not be recorded. What is known of earlier requests under the key stands.',
    PLATFORM_RETRY_AFTER_MS,
    cause,
  );

/**
 * @param cause - why no upstream was reached
 * @returns the error for an order that was never sent to the service
 */
export const createNotStartedError = (cause: unknown): SardinegradeError =>
  createError(
    ResultCode.NoUpstream,
    RunState.NotRun,
    'The service could not be reached.',
    PLATFORM_RETRY_AFTER_MS,
    cause,
  );

/** @returns the error for an order whose deadline passed before it was sent to the service */
export const createDeadlineError = (): SardinegradeError =>
  createError(
    ResultCode.DeadlineBeforeStart,
    RunState.NotRun,
    'The deadline passed before the order was sent to the service.',
    IN_PROGRESS_RETRY_AFTER_MS,
  );

/** @returns the error for a daemon that is shutting down */
export const createShutdownError = (): SardinegradeError =>
  createError(
    ResultCode.ShuttingDown,
    RunState.NotRun,
    'The VM is shutting down.',
    IN_PROGRESS_RETRY_AFTER_MS,
  );

/** @returns the error for an order without a record */
export const createNotFoundError = (): SardinegradeError =>
  createError(ResultCode.OrderNotFound, RunState.NotRun, 'No such order.');

/**
 * @param message - why the order cannot be settled
 * @param retryAfterMs - time until it can be; undefined if waiting does not help
 * @returns the error for a settlement that is refused
 */
export const createNotSettleableError = (
  message: string,
  retryAfterMs?: number,
): SardinegradeError =>
  createError(ResultCode.OrderNotSettleable, RunState.Unknown, message, retryAfterMs);
