/** Time allowed for a TCP connection to an upstream. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Time allowed for a small call: a command, a load report, a probe. */
export const CONTROL_TIMEOUT_MS = 2_000;

/** How long an idle connection is kept for the next attempt. */
export const KEEP_ALIVE_MS = 30_000;

/** Upper bound of connections to one engine; its slots bound them in practice. */
export const CONNECTIONS_LIMIT = 512;
