import { PREFILL_TOKENS_PER_MS } from '../placement/index.js';

/** Weight of a new prompt in the moving average of uncached shares, which covers some seconds of traffic. */
const SHARE_WEIGHT = 1 / 32;

/**
 * Estimates how fast the engines read what waits for them: waiting prompt tokens that are not cached, over the prefill rates of
 * all engines.
 *
 * Load pattern: requests that are refused return too early, find the same queue and are refused again.
 */
export class DrainRate {
  #uncachedShare = 1;

  /** Records how many tokens of a prompt its engine had not cached. */
  recordSend(promptTokens: number, uncachedTokens: number): void {
    if (promptTokens <= 0) return;
    const share = Math.min(1, Math.max(0, uncachedTokens / promptTokens));
    this.#uncachedShare += (share - this.#uncachedShare) * SHARE_WEIGHT;
  }

  /**
   * Estimates the time in which the engines read waiting prompts.
   *
   * @param promptTokens - tokens of the prompts
   * @param speeds - learned speeds of the engines, as multiples of the nominal one
   * @returns the time, in milliseconds; infinite without engines
   */
  estimateMs(promptTokens: number, speeds: Iterable<number>): number {
    let speed = 0;
    for (const engineSpeed of speeds) speed += engineSpeed;
    if (promptTokens === 0) return 0;
    return (promptTokens * this.#uncachedShare) / (speed * PREFILL_TOKENS_PER_MS);
  }
}
