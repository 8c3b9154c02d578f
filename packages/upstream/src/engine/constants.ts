/** Timeout for opening a TCP connection to an upstream, in milliseconds. */
export const CONNECT_TIMEOUT_MS = 1_000;

/** Timeout of a control call (a command, a load report or a probe), in milliseconds. */
export const CONTROL_TIMEOUT_MS = 2_000;

/** How long an idle connection is kept open for the next attempt, in milliseconds. */
export const KEEP_ALIVE_MS = 30_000;

/** Maximum number of connections to one engine; in practice the number of its slots is the limit. */
export const CONNECTIONS_LIMIT = 512;
