/** How often the files of a certificate are looked at. */
export const CERTIFICATE_CHECK_MS = 10_000;
