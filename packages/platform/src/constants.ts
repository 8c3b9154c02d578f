/** Connections to the platform that one client opens for reads and writes. */
export const CALL_CONNECTIONS = 8;

/** Connections that one client opens for watches, which hold theirs while they wait. */
export const WATCH_CONNECTIONS = 4;

export const CONNECT_TIMEOUT_MS = 1_000;

/** Longest wait for the answer to a read or a write. */
export const CALL_TIMEOUT_MS = 3_000;

/** Time that a watch may take beyond the timeout it asks for. */
export const WATCH_MARGIN_MS = 2_000;

/** Times that a write with an uncertain outcome is read back before the caller is told so. */
export const CONFIRM_ATTEMPTS = 4;

/** Longest wait before the first read-back; it doubles with each further one. */
export const CONFIRM_DELAY_MS = 50;

/** Objects on a page of a list. */
export const PAGE_LIMIT = 500;

/** Size of an encoded value above which the platform refuses it. */
export const VALUE_LIMIT_BYTES = 1_048_576;

/** Role of an upstream's VM in the platform's list; its id is the upstream's id in the configuration. */
export const UPSTREAM_ROLE = 'upstream';
