import type { EngineBehaviour, EngineCounts } from './types.js';

export const DEFAULT_SLOTS = 8;
export const QUEUED_PER_SLOT = 4;
export const DEFAULT_TOKEN_INTERVAL_MS = 20;
export const DEFAULT_BATCH_SLOPE = 0.02;
export const DEFAULT_PREFILL_TOKENS_PER_SECOND = 20_000;
export const DEFAULT_CACHE_BLOCKS = 2_048;
export const TOKENS_PER_BLOCK = 64;

/** Upper limit of the steps executed in one timer callback when the timer fires late. */
export const CATCH_UP_STEPS = 8;

export const LOAD_SAMPLE_INTERVAL_MS = 50;

export const NO_FAULTS: EngineBehaviour = {
  slowdown: 1,
  isLeaving: false,
  loadLagMs: 0,
  cacheEventLagMs: 0,
  cacheEventLoss: 0,
  crashMarker: '',
  hasWrongAttemptId: false,
};

/** @returns the counters of a newly started engine */
export const createCounts = (): EngineCounts => ({
  received: 0,
  started: 0,
  finished: 0,
  cancelled: 0,
  refused: 0,
  paused: 0,
  tokens: 0,
  prefillTokens: 0,
  cachedTokens: 0,
  orders: 0,
  staleOrders: 0,
  receivedWhileLeaving: 0,
  lastReceivedAfterLeavingMs: 0,
});
