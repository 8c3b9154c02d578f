import type { UpstreamId } from '@sardinegrade/common';
import type { SimulatedOutcome } from './enums.js';
import type { DispatchAction, DispatchEvent, GrantRequest } from '../types.js';

/** Size and speed of a simulated engine. */
export interface EngineShape {
  readonly id: UpstreamId;
  readonly slots: number;
  /** Interval between the tokens of a stream that runs alone. */
  readonly baseIntervalMs: number;
  /** Relative increase of the interval when all slots are used. */
  readonly batchingCost: number;
  readonly prefillMsPerToken: number;
}

/** A request of a caller to a simulated shard. */
export interface SimulatedRequest {
  readonly ask: GrantRequest;
  /** Length of the complete answer, in tokens. */
  readonly outputTokens: number;
  /** Whether it crashes every engine that runs it. */
  readonly isPoison: boolean;
}

/** Outcome and measurements of a simulated request. */
export interface SimulatedResult {
  readonly request: SimulatedRequest;
  readonly outcome: SimulatedOutcome;
  readonly atMs: number;
  readonly firstTokenAtMs: number | undefined;
  readonly meanIntervalMs: number | undefined;
  /** Tokens that were computed and discarded. */
  readonly wastedTokens: number;
}

/** Receives every event of a simulated shard and the actions that the dispatcher returned for it. */
export type SimulationObserver = (
  event: DispatchEvent,
  actions: readonly DispatchAction[],
  nowMs: number,
) => void;
