import { countSharedTokens } from './countSharedTokens.js';
import { PrefixCacheModel } from './PrefixCacheModel.js';

import type { PromptShape } from './types.js';

/** Prompt tokens that an engine reads in a millisecond: the sheets of both sites say 56.6. */
export const PREFILL_TOKENS_PER_MS = 56.6;

/**
 * Part of the reading rate that is taken to serve this VM's prompts while others may have theirs at the
 * engine too, and the part of the prompts that counts in any case until their first events show that
 * they are read.
 */
const OWN_PREFILL_SHARE = 0.3;
const MIN_BACKLOG_SHARE = 0.5;

/** One request that an engine runs or queues for this VM. */
export interface EngineRun {
  /** Tokens that the engine had to read when the request was sent. */
  readonly uncachedTokens: number;
  /** Whether it brought parts that other prompts may share to an engine that did not hold them. */
  readonly hasUncachedSharedParts: boolean;
  readonly sentAtMs: number;
  hasFirstEvent: boolean;
}

/** What this VM has sent to one engine: work in progress, and what the engine's memory probably holds. */
export class EngineTracker {
  readonly prefixCache: PrefixCacheModel;
  readonly #runs = new Set<EngineRun>();

  /** @param cacheTokens - size of the engine's memory */
  constructor(cacheTokens: number) {
    this.prefixCache = new PrefixCacheModel(cacheTokens);
  }

  /** Requests in progress. */
  get runCount(): number {
    return this.#runs.size;
  }

  /**
   * Records a request that is sent.
   *
   * @param prompt - its prompt
   * @param nowMs - the present
   * @returns the run, to be ended by `finish`
   */
  start(prompt: PromptShape, nowMs: number): EngineRun {
    const cachedTokens = this.prefixCache.countCachedTokens(prompt.parts);
    const uncachedTokens = Math.max(0, prompt.promptTokens - cachedTokens);
    const hasUncachedSharedParts = cachedTokens < countSharedTokens(prompt);
    this.prefixCache.record(prompt.parts);
    const run: EngineRun = {
      uncachedTokens,
      hasUncachedSharedParts,
      sentAtMs: nowMs,
      hasFirstEvent: false,
    };
    this.#runs.add(run);
    return run;
  }

  /** Records that a run is over. */
  finish(run: EngineRun): void {
    this.#runs.delete(run);
  }

  /**
   * Estimates the tokens that are still to be read before a new prompt's turn comes. A prompt is known
   * to be read by its first event; until then reading is taken to go on slowly.
   *
   * @param nowMs - the present
   * @returns tokens
   */
  estimateBacklogTokens(nowMs: number): number {
    let unfinishedTokens = 0;
    let oldestSentAtMs = nowMs;
    for (const run of this.#runs) {
      if (run.hasFirstEvent) continue;
      unfinishedTokens += run.uncachedTokens;
      oldestSentAtMs = Math.min(oldestSentAtMs, run.sentAtMs);
    }
    const prefilledTokens = (nowMs - oldestSentAtMs) * PREFILL_TOKENS_PER_MS * OWN_PREFILL_SHARE;
    return Math.max(unfinishedTokens * MIN_BACKLOG_SHARE, unfinishedTokens - prefilledTokens);
  }
}
