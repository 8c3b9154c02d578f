import { WINDOW_HALF_MS } from './constants.js';

import type { Clock } from '../time/index.js';

/** A sliding window made of two halves: the current one, which takes new values, and the previous one. */
export class RecentWindow<Half> {
  readonly #clock: Clock;
  readonly #createHalf: () => Half;
  #startedAtMs: number;
  #current: Half;
  #previous: Half;

  constructor(clock: Clock, createHalf: () => Half) {
    this.#clock = clock;
    this.#createHalf = createHalf;
    this.#startedAtMs = clock.getNowMs();
    this.#current = createHalf();
    this.#previous = createHalf();
  }

  /** @returns the half that takes new values, after advancing the window */
  get current(): Half {
    this.#advance();
    return this.#current;
  }

  /** @returns the previous and the current half, after advancing the window */
  get halves(): readonly [Half, Half] {
    this.#advance();
    return [this.#previous, this.#current];
  }

  #advance(): void {
    const nowMs = this.#clock.getNowMs();
    const elapsedMs = nowMs - this.#startedAtMs;
    // If the clock was set back, the current half is kept but restarts at the new time. Otherwise it
    // would not end before the clock had caught up.
    if (elapsedMs >= 0 && elapsedMs < WINDOW_HALF_MS) return;
    this.#startedAtMs = nowMs;
    if (elapsedMs < 0) return;
    this.#previous = elapsedMs < 2 * WINDOW_HALF_MS ? this.#current : this.#createHalf();
    this.#current = this.#createHalf();
  }
}
