import { PlatformError, PlatformFailure } from './PlatformError.js';

/** Codes of errors that occur before anything has been sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const getCode = (thrown: unknown): string => {
  if (!(thrown instanceof Error) || !('code' in thrown)) return '';
  return String(thrown.code);
};

/**
 * Converts an error of a call to the platform into a PlatformError.
 *
 * A failed write counts as having had no effect only if nothing can have been sent; otherwise it is uncertain.
 *
 * @param thrown - error of the HTTP client
 * @param isWrite - whether the call changes an object
 * @returns the error to throw; a PlatformError is returned as it is
 */
export const toTransportError = (thrown: unknown, isWrite: boolean): PlatformError => {
  if (thrown instanceof PlatformError) return thrown;
  const wasNotSent = NOT_SENT_CODES.has(getCode(thrown));
  const failure = isWrite && !wasNotSent ? PlatformFailure.Uncertain : PlatformFailure.Unavailable;
  return new PlatformError(failure, `The platform did not answer: ${String(thrown)}`, thrown);
};
