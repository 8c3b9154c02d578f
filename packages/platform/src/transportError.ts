import { PlatformError, PlatformFailure } from './PlatformError.js';

/** Codes of errors that come before anything was sent. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
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
 * Classifies what a call to the platform threw.
 *
 * A write counts as without effect only where nothing can have been sent; any doubt makes it uncertain.
 *
 * @param thrown - what the HTTP client threw
 * @param isWrite - whether the call changes an object
 * @returns the failure, for the caller of the client
 */
export const toTransportError = (thrown: unknown, isWrite: boolean): PlatformError => {
  if (thrown instanceof PlatformError) return thrown;
  const wasUnsent = UNSENT_CODES.has(getCode(thrown));
  const failure = isWrite && !wasUnsent ? PlatformFailure.Uncertain : PlatformFailure.Unavailable;
  return new PlatformError(failure, `The platform did not answer: ${String(thrown)}`, thrown);
};
