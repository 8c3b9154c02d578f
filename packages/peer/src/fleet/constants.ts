/** Maximum number of open channels to other daemons; beyond it, the least recently used one is closed. */
export const CHANNEL_LIMIT = 32;
export const KEEPALIVE_TIME_MS = 10_000;
export const KEEPALIVE_TIMEOUT_MS = 2_000;
export const RECONNECT_BACKOFF_MS = 100;
export const RECONNECT_BACKOFF_LIMIT_MS = 1_000;

/** Name in every daemon's certificate; addresses of VMs change too often to be part of certificates. */
export const PEER_CERTIFICATE_NAME = 'sardinegrade-peer';
/** Interval at which the files of a certificate are reloaded, in milliseconds. */
export const CERTIFICATE_REFRESH_MS = 10_000;
