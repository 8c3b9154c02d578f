import type { Route } from '@sardinegrade/routing';

/** Measures when the pieces of an answer are received, and compares them with the targets of the route. */
export class AnswerTimes {
  #firstAtMs: number | undefined;
  #lastAtMs: number | undefined;
  #longestGapMs = 0;

  /** @param arrivedAtMs - arrival time of the request, in milliseconds */
  constructor(private readonly arrivedAtMs: number) {}

  /** Time from the request's arrival to the first piece, in milliseconds; undefined until it is received. */
  get firstMs(): number | undefined {
    return this.#firstAtMs === undefined ? undefined : this.#firstAtMs - this.arrivedAtMs;
  }

  /** Longest gap between two pieces, in milliseconds. */
  get longestGapMs(): number {
    return this.#longestGapMs;
  }

  /**
   * Records that a piece was received.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the gap since the previous piece, in milliseconds; undefined for the first piece
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
