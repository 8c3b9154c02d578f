import type { UpstreamId } from '@sardinegrade/common';
import type { ModelOutcome } from './enums.js';
import type { DispatchAction, DispatchEvent, GrantAsk } from '../types.js';

/** How a modelled engine computes. */
export interface EngineShape {
  readonly id: UpstreamId;
  readonly slots: number;
  /** Interval between tokens of a stream that runs alone. */
  readonly baseIntervalMs: number;
  /** By which part the interval grows when all slots run. */
  readonly batchingCost: number;
  readonly prefillMsPerToken: number;
}

/** What a caller wants of the shard. */
export interface ModelRequest {
  readonly ask: GrantAsk;
  /** Length of the whole answer. */
  readonly outputTokens: number;
  /** Whether it ends every engine that runs it. */
  readonly isPoison: boolean;
}

/** A request's fate. */
export interface ModelResult {
  readonly request: ModelRequest;
  readonly outcome: ModelOutcome;
  readonly atMs: number;
  readonly firstTokenAtMs: number | undefined;
  readonly meanIntervalMs: number | undefined;
  /** Tokens that were computed and thrown away. */
  readonly wastedTokens: number;
}

/** Watches everything that passes between a modelled shard and its dispatcher. */
export type ModelObserver = (
  event: DispatchEvent,
  actions: readonly DispatchAction[],
  nowMs: number,
) => void;
