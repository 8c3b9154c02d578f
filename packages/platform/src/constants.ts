/** Maximum number of connections that one client opens for reads and writes. */
export const CALL_CONNECTIONS = 8;

/** Maximum number of connections that one client opens for watches; a waiting watch occupies one. */
export const WATCH_CONNECTIONS = 4;

export const CONNECT_TIMEOUT_MS = 1_000;

/** Timeout of a read or a write, in milliseconds. */
export const CALL_TIMEOUT_MS = 3_000;

/** Added to the wait that a watch asks for to get its timeout, in milliseconds. */
export const WATCH_MARGIN_MS = 500;

/** Attempts to read back a write with an uncertain outcome before the call rejects. */
export const CONFIRM_ATTEMPTS = 4;

/** Longest delay after the first failed read-back, in milliseconds; it doubles with each further one. */
export const CONFIRM_DELAY_MS = 50;

/** Maximum number of objects on a page of a list. */
export const PAGE_LIMIT = 500;

/** Maximum size of an encoded value; the platform rejects larger ones. */
export const VALUE_LIMIT_BYTES = 1_048_576;

/** Role of an upstream in the platform's VM list; the VM's id is the upstream's id in the configuration. */
export const UPSTREAM_ROLE = 'upstream';
