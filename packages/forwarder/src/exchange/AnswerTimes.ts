import type { Route } from '@sardinegrade/routing';

/**
 * Measures when the events of a stream, or a complete plain answer, are received, and compares the times with the
 * targets of the route. Events that arrive in one chunk count as one.
 */
export class AnswerTimes {
  #firstAtMs: number | undefined;
  #lastAtMs: number | undefined;
  #longestGapMs = 0;

  /** @param arrivedAtMs - arrival time of the request, in milliseconds */
  constructor(private readonly arrivedAtMs: number) {}

  /** Time from the request's arrival to the first event or the plain answer, in milliseconds; undefined until then. */
  get firstMs(): number | undefined {
    return this.#firstAtMs === undefined ? undefined : this.#firstAtMs - this.arrivedAtMs;
  }

  /** Longest gap between two events, in milliseconds. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /**
   * Records that events, or a complete plain answer, were received.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the gap since the previous call, in milliseconds; undefined for the first call
   */
  record(nowMs: number): number | undefined {
    this.#firstAtMs ??= nowMs;
    const gapMs = this.#lastAtMs === undefined ? undefined : nowMs - this.#lastAtMs;
    this.#lastAtMs = nowMs;
    if (gapMs !== undefined) this.#longestGapMs = Math.max(this.#longestGapMs, gapMs);
    return gapMs;
  }

  /** @returns whether a target of the route was missed */
  isLate(route: Route): boolean {
    const isFirstLate = (this.firstMs ?? 0) > route.targetMs;
    return isFirstLate || (route.eventGapMs > 0 && this.#longestGapMs > route.eventGapMs);
  }
}
