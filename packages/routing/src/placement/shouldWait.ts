import { PREFILL_TOKENS_PER_MS } from './constants.js';

/** Latency class of prompts. Some engines are reserved for the Tight lane (see `EngineRanking`). */
export enum PromptLane {
  /** Prompts with a tight latency target for the first event. */
  Tight = 'tight',
  /** All other prompts. */
  Bulk = 'bulk',
}

/**
 * Backlog of an engine above which bulk prompts wait at this VM, in milliseconds of prefill. It covers the delay until
 * this VM learns that the engine is idle, and leaves half of a tight latency target to a prompt of the Tight lane that
 * arrives next.
 */
export const MAX_BULK_BACKLOG_MS = 150;

/**
 * Decides whether a request waits in this VM's queue instead of being sent to its engine. Engines admit more urgent
 * requests first and preempt others, but do not interrupt a prefill that has begun, so no request could overtake it there.
 *
 * Load pattern: a burst of long prompts alongside prompts with a tight latency target.
 *
 * @param lane - lane of the request
 * @param backlogTokens - prompt tokens that its engine has yet to prefill
 * @param speed - learned prefill rate of its engine, as a multiple of the nominal one
 * @returns whether the request waits
 */
export const shouldWait = (lane: PromptLane, backlogTokens: number, speed = 1): boolean =>
  lane === PromptLane.Bulk && backlogTokens > MAX_BULK_BACKLOG_MS * PREFILL_TOKENS_PER_MS * speed;
