/** A source of the current time, injected so that time-dependent code can be tested. */
export interface Clock {
  /** Current time, in milliseconds since the epoch. */
  readonly getNowMs: () => number;
}

/** The system clock (wall-clock time, which can be set back). */
export const SYSTEM_CLOCK: Clock = { getNowMs: () => Date.now() };
