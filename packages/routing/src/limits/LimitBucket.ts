import type { LimitShare } from './computeLimitShare.js';

const MS_PER_SECOND = 1_000;

/** Token bucket of one VM for one limited worker. It starts empty, so that new shares add no burst. */
export class LimitBucket {
  #tokens = 0;
  #share: LimitShare | undefined;

  /** @param refilledAtMs - current time, in milliseconds */
  constructor(private refilledAtMs: number) {}

  /** Requests a second that this VM may send; 0 if it has no share. */
  get perSecond(): number {
    return this.#share?.perSecond ?? 0;
  }

  /**
   * Adds the requests that the share has accrued since the last call.
   *
   * @param share - the current share; undefined if this VM has none
   * @param nowMs - current time, in milliseconds
   */
  refill(share: LimitShare | undefined, nowMs: number): void {
    const accrued = ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * this.perSecond;
    this.refilledAtMs = nowMs;
    this.#share = share;
    this.#tokens = Math.min(share?.burst ?? 0, this.#tokens + accrued);
  }

  /** Number of requests that may be sent now. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Removes one request; the number becomes negative if the request was sent regardless of the limit. */
  claim(): void {
    this.#tokens -= 1;
  }
}
