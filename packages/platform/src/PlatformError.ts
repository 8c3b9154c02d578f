import { ResultCode, SardinegradeError } from '@sardinegrade/common';

/** Why a call to the platform failed. */
export enum PlatformFailure {
  /** The platform did not respond or refused the call; a write had no effect. */
  Unavailable = 'unavailable',
  /** The rate limit rejected the call; it had no effect. */
  Limited = 'limited',
  /** The response to a write was lost or invalid; the write may have taken effect. */
  Uncertain = 'uncertain',
  /** The response violates the protocol, or the platform rejected the call, for example for too large a value. */
  Invalid = 'invalid',
  /** The change history that a watch asked for is no longer available: all objects have to be listed again. */
  Truncated = 'truncated',
}

/** A failed call to the platform's object API. */
export class PlatformError extends SardinegradeError {
  readonly failure: PlatformFailure;

  constructor(failure: PlatformFailure, message: string, cause?: unknown) {
    super(ResultCode.PlatformUnavailable, message, { cause });
    this.name = 'PlatformError';
    this.failure = failure;
  }
}
