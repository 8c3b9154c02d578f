import type { FencingSupport } from '@sardinegrade/common';

/** Options of an engine stand-in. */
export interface EngineOptions {
  readonly listen?: string;
  /** Models that are loaded at the start. */
  readonly models?: readonly string[];
  /** Number of requests that the engine runs concurrently. */
  readonly slots?: number;
  /** Number of queued requests at which new ones are refused. */
  readonly queueLimit?: number;
  /** Interval between tokens of a request while no other one is running. */
  readonly tokenIntervalMs?: number;
  /** Fraction of the token interval that each further running request adds to it. */
  readonly batchSlope?: number;
  /** Prefill rate of prompt tokens that are not cached. */
  readonly prefillTokensPerSecond?: number;
  /** Capacity of the prefix cache, in blocks. */
  readonly cacheBlocks?: number;
  readonly fencing?: FencingSupport;
  /** Address of the weight store from which models are loaded; if absent, loading takes no time. */
  readonly weightStore?: string;
  readonly behaviour?: Partial<EngineBehaviour>;
  /** Called when a crash is triggered; by default the server is stopped. */
  readonly onCrash?: () => void;
  readonly random?: () => number;
}

/** Behaviour and faults of an engine, which can be changed while it runs. */
export interface EngineBehaviour {
  /** Factor by which token intervals and prefills take longer. */
  readonly slowdown: number;
  readonly isLeaving: boolean;
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  /** Fraction of cache events that are lost, between 0 and 1. */
  readonly cacheEventLoss: number;
  /** A request whose body contains this text crashes the engine when it gets a slot; empty for none. */
  readonly crashMarker: string;
  /** Whether every answer carries an attempt id other than the requested one. */
  readonly hasWrongAttemptId: boolean;
}

/** Counters of an engine since its start. */
export interface EngineCounts {
  received: number;
  /** Attempts that got a slot, each counted once. */
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
  /** Attempts received after the engine began to leave. */
  receivedWhileLeaving: number;
  /** Milliseconds between the start of leaving and the last received attempt; 0 if there is none. */
  lastReceivedAfterLeavingMs: number;
}
