import { countSharedTokens } from './countSharedTokens.js';
import { PromptMemory } from './PromptMemory.js';

import type { PromptShape } from './types.js';

/** Prompt tokens that an engine reads in a millisecond: the sheets of both sites say 56.6. */
export const READING_TOKENS_PER_MS = 56.6;

/**
 * Part of the reading rate that is taken to serve this VM's prompts while others may have theirs at the
 * engine too, and the part of the prompts that counts in any case until their first events show that
 * they are read.
 */
const OWN_READING_SHARE = 0.3;
const LEAST_UNREAD_SHARE = 0.5;

/** One request that an engine runs or queues for this VM. */
export interface EngineRun {
  /** Tokens that the engine had to read when the request was sent. */
  readonly unreadTokens: number;
  /** Whether it brought parts that other prompts may share to an engine that did not hold them. */
  readonly hasNewShared: boolean;
  readonly sentAtMs: number;
  hasBegun: boolean;
}

/** What this VM has sent to one engine: work in progress, and what the engine's memory probably holds. */
export class EngineAccount {
  readonly memory: PromptMemory;
  readonly #runs = new Set<EngineRun>();

  /** @param cacheTokens - size of the engine's memory */
  constructor(cacheTokens: number) {
    this.memory = new PromptMemory(cacheTokens);
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
    const heldTokens = this.memory.countHeld(prompt.parts);
    const unreadTokens = Math.max(0, prompt.promptTokens - heldTokens);
    const hasNewShared = heldTokens < countSharedTokens(prompt);
    this.memory.record(prompt.parts);
    const run: EngineRun = { unreadTokens, hasNewShared, sentAtMs: nowMs, hasBegun: false };
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
    let tokens = 0;
    let oldestSentAtMs = nowMs;
    for (const run of this.#runs) {
      if (run.hasBegun) continue;
      tokens += run.unreadTokens;
      oldestSentAtMs = Math.min(oldestSentAtMs, run.sentAtMs);
    }
    const readTokens = (nowMs - oldestSentAtMs) * READING_TOKENS_PER_MS * OWN_READING_SHARE;
    return Math.max(tokens * LEAST_UNREAD_SHARE, tokens - readTokens);
  }
}
