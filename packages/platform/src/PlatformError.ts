import { ResultCode, SardinegradeError } from '@sardinegrade/common';

/** Why a call to the platform failed. */
export enum PlatformFailure {
  /** The platform did not take the call. */
  Unavailable = 'unavailable',
  /** The rate limit refused the call; it had no effect. */
  Limited = 'limited',
  /** The answer to a write was lost; the write may have taken effect. */
  Uncertain = 'uncertain',
  /** The platform answered against its own protocol, or the value is too large. */
  Invalid = 'invalid',
  /** The history that a watch asked for is gone: everything has to be listed anew. */
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
