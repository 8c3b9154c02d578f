/** Open channels to other daemons at once; the least recently used is closed beyond it. */
export const CHANNEL_LIMIT = 32;
export const KEEPALIVE_TIME_MS = 10_000;
export const KEEPALIVE_TIMEOUT_MS = 2_000;
export const RECONNECT_BACKOFF_MS = 100;
export const RECONNECT_BACKOFF_LIMIT_MS = 1_000;

/** The name in every daemon's certificate; VMs change their addresses too often to certify them. */
export const PEER_CERTIFICATE_NAME = 'sardinegrade-peer';
/** How often the files of a certificate are read again. */
export const CERTIFICATE_REFRESH_MS = 10_000;
