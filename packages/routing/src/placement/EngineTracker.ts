import { PREFILL_TOKENS_PER_MS } from './constants.js';
import { countSharedTokens } from './countSharedTokens.js';
import { PrefixCacheModel } from './PrefixCacheModel.js';

import type { PromptShape } from './types.js';

/**
 * Share of an engine's prefill rate that this VM's prompts are assumed to get, since other VMs may have prompts on
 * the same engine.
 */
const OWN_PREFILL_SHARE = 0.3;

/**
 * Share of the sent prompt tokens that always counts as backlog until the first event of a request shows that its
 * prefill is complete.
 */
const MIN_BACKLOG_SHARE = 0.5;

/** A request of this VM that an engine runs or has queued. */
export interface EngineRun {
  /** Prompt tokens that were not in the engine's prefix cache when the request was sent. */
  readonly uncachedTokens: number;
  /** Whether some of the prompt's shared parts were not in the engine's prefix cache when the request was sent. */
  readonly hasUncachedSharedParts: boolean;
  readonly sentAtMs: number;
  /** Whether the first event of the answer has been received, that is, prefill is complete. */
  hasFirstEvent: boolean;
}

/** Tracks this VM's requests on one engine and the expected contents of the engine's prefix cache. */
export class EngineTracker {
  readonly prefixCache: PrefixCacheModel;
  readonly #runs = new Set<EngineRun>();

  /** @param cacheTokens - capacity of the engine's KV cache, in tokens */
  constructor(private readonly cacheTokens: number) {
    this.prefixCache = new PrefixCacheModel(cacheTokens);
  }

  /** Number of requests in progress. */
  get runCount(): number {
    return this.#runs.size;
  }

  /**
   * Records that a request is sent to the engine.
   *
   * @param prompt - the prompt of the request
   * @param nowMs - current time, in milliseconds
   * @returns the run, to be passed to `finish` when the request ends
   */
  start(prompt: PromptShape, nowMs: number): EngineRun {
    const cachedTokens = this.prefixCache.countCachedTokens(prompt.parts);
    // The engine rejects a larger prompt and reads none of it.
    const promptTokens = Math.min(prompt.promptTokens, this.cacheTokens);
    const uncachedTokens = Math.max(0, promptTokens - cachedTokens);
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

  /** Records that a request has ended. */
  finish(run: EngineRun): void {
    this.#runs.delete(run);
  }

  /**
   * Estimates how many prompt tokens of this VM's requests the engine has yet to prefill. Prefill of a request is
   * complete when its first event arrives; until then progress is estimated from the time since the oldest unfinished
   * request was sent.
   *
   * @param nowMs - current time, in milliseconds
   * @param speed - learned prefill rate, as a multiple of the nominal one
   * @returns the number of tokens
   */
  estimateBacklogTokens(nowMs: number, speed = 1): number {
    let unfinishedTokens = 0;
    let oldestSentAtMs = nowMs;
    for (const run of this.#runs) {
      if (run.hasFirstEvent) continue;
      unfinishedTokens += run.uncachedTokens;
      oldestSentAtMs = Math.min(oldestSentAtMs, run.sentAtMs);
    }
    const prefilledTokens =
      (nowMs - oldestSentAtMs) * PREFILL_TOKENS_PER_MS * speed * OWN_PREFILL_SHARE;
    return Math.max(unfinishedTokens * MIN_BACKLOG_SHARE, unfinishedTokens - prefilledTokens);
  }
}
