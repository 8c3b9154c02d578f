import type { ResultCode, Tier, UpstreamId } from '@sardinegrade/common';
import type { SpreadPolicy } from './enums.js';

/** What a daemon knows of an engine by itself. */
export interface KnownEngine {
  readonly upstream: UpstreamId;
  readonly slots: number;
  /** Running and queued requests at the last report; 0 where there is none. */
  readonly reportedLoad: number;
  /** This daemon's own requests that began after the report or may not be in it. */
  readonly ownSinceReport: number;
  readonly isLeaving: boolean;
  readonly isLost: boolean;
}

/** A request that must be placed without a dispatcher. */
export interface LoneRequest {
  readonly tier: Tier;
  readonly excludedUpstreams: readonly UpstreamId[];
  readonly isQuarantined: boolean;
  readonly spread: SpreadPolicy;
}

/** Where the request goes, or why it goes nowhere. */
export type LoneDecision =
  | { readonly upstream: UpstreamId }
  | { readonly code: ResultCode; readonly retryAfterMs: number | undefined };
