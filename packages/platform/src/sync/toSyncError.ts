import { PlatformError, PlatformFailure } from '../PlatformError.js';

/** @returns what was thrown, if it is a PlatformError, or an error with failure Invalid that wraps it */
export const toSyncError = (thrown: unknown): PlatformError =>
  thrown instanceof PlatformError
    ? thrown
    : new PlatformError(
        PlatformFailure.Invalid,
        `Synchronizing objects failed: ${String(thrown)}`,
        thrown,
      );
