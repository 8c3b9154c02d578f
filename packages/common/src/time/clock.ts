/** A source of time, passed in wherever a decision depends on it. */
export interface Clock {
  /** Milliseconds since the epoch. */
  readonly getNowMs: () => number;
}

/** The clock of the machine. */
export const SYSTEM_CLOCK: Clock = { getNowMs: () => Date.now() };
