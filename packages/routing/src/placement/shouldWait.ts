import { PREFILL_TOKENS_PER_MS } from './EngineTracker.js';

/** Whose prompts an engine is kept for. */
export enum PromptLane {
  /** A tight target for the first event. */
  Tight = 'tight',
  Bulk = 'bulk',
}

/**
 * Backlog of an engine above which a long prompt is held back, in milliseconds of reading. It covers the time in
 * which this VM learns that the engine is free, and leaves half of a tight target to a query that comes next.
 */
export const MAX_BULK_BACKLOG_MS = 150;

/**
 * Decides whether a request waits at this VM instead of at its engine, where nothing could pass it.
 *
 * Load pattern: a burst of long prompts beside queries with a tight target.
 *
 * @param lane - whose engines suit the request
 * @param backlogTokens - what its engine has to read first
 * @returns whether it is held back
 */
export const shouldWait = (lane: PromptLane, backlogTokens: number): boolean =>
  lane === PromptLane.Bulk && backlogTokens > MAX_BULK_BACKLOG_MS * PREFILL_TOKENS_PER_MS;
