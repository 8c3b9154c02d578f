/** Most tokens that a prompt or one of its parts is taken to have; no engine holds as many. */
export const MAX_TOKENS = 100_000_000;

/** Most requests a second that a worker can name as its limit. */
export const MAX_PER_SECOND = 1e9;

/** Longest time that a message can name, in milliseconds: a day. */
export const MAX_DURATION_MS = 86_400_000;

/** Most requests, slots or VMs that a message can count. */
export const MAX_COUNT = 100_000;
