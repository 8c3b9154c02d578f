import type { FencingSupport } from '@sardinegrade/common';

/** How an engine stand-in is started. */
export interface EngineOptions {
  readonly listen?: string;
  /** Models loaded from the start. */
  readonly models?: readonly string[];
  /** Requests that the engine runs side by side. */
  readonly slots?: number;
  /** Requests that may wait for a slot before new ones are refused. */
  readonly queueLimit?: number;
  /** Interval between tokens of a request that runs alone. */
  readonly tokenIntervalMs?: number;
  /** Part by which the interval grows with each further running request. */
  readonly batchSlope?: number;
  /** Prompt tokens read per second where they are not cached. */
  readonly prefillTokensPerSecond?: number;
  /** Prefix blocks that the cache holds. */
  readonly cacheBlocks?: number;
  readonly fencing?: FencingSupport;
  /** Address of the weight store from which models are loaded; absent: loading takes no time. */
  readonly weightStore?: string;
  readonly behaviour?: Partial<EngineBehaviour>;
  /** Ends the process when a crash is brought about; by default the server is stopped. */
  readonly onCrash?: () => void;
  readonly random?: () => number;
}

/** Faults of an engine that can be switched while it runs. */
export interface EngineBehaviour {
  /** Factor on the interval between tokens. */
  readonly slowdown: number;
  readonly isLeaving: boolean;
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  /** Part of cache events that are never seen, between 0 and 1. */
  readonly cacheEventLoss: number;
  /** A request whose body contains this text crashes the engine when it runs; empty: none does. */
  readonly crashMarker: string;
  /** Every answer carries another attempt's id. */
  readonly hasWrongAttemptId: boolean;
}

/** What an engine has done since its start. */
export interface EngineCounts {
  received: number;
  /** Attempts that got a slot. */
  started: number;
  finished: number;
  cancelled: number;
  refused: number;
  paused: number;
  tokens: number;
  prefillTokens: number;
  cachedTokens: number;
  orders: number;
  staleOrders: number;
  /** Attempts received after the engine was told to leave. */
  receivedWhileLeaving: number;
  /** Milliseconds from the order to leave to the last attempt received; 0 where none came. */
  lastReceivedAfterLeavingMs: number;
}
