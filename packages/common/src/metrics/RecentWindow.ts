import { WINDOW_HALF_MS } from './constants.js';

import type { Clock } from '../time/index.js';

/** Two halves of a sliding window: the present one and the one before it. */
export class RecentWindow<Half> {
  readonly #clock: Clock;
  readonly #createHalf: () => Half;
  #startedAtMs: number;
  #present: Half;
  #previous: Half;

  constructor(clock: Clock, createHalf: () => Half) {
    this.#clock = clock;
    this.#createHalf = createHalf;
    this.#startedAtMs = clock.getNowMs();
    this.#present = createHalf();
    this.#previous = createHalf();
  }

  /** @returns the half that takes new values */
  get present(): Half {
    this.#advance();
    return this.#present;
  }

  /** @returns both halves, the older one first */
  get halves(): readonly [Half, Half] {
    this.#advance();
    return [this.#previous, this.#present];
  }

  #advance(): void {
    const nowMs = this.#clock.getNowMs();
    const elapsedMs = nowMs - this.#startedAtMs;
    // A clock set back keeps the present half rather than stretching it without end.
    if (elapsedMs >= 0 && elapsedMs < WINDOW_HALF_MS) return;
    this.#startedAtMs = nowMs;
    if (elapsedMs < 0) return;
    this.#previous = elapsedMs < 2 * WINDOW_HALF_MS ? this.#present : this.#createHalf();
    this.#present = this.#createHalf();
  }
}
