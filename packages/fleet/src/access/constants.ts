/** Interval at which the files of a certificate are checked for changes. */
export const CERTIFICATE_CHECK_MS = 10_000;
