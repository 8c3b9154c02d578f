import type { ResultCode, Tier, UpstreamId } from '@sardinegrade/common';
import type { SpreadPolicy } from './enums.js';

/** State of an engine as known to a daemon without a dispatcher. */
export interface KnownEngine {
  readonly upstream: UpstreamId;
  readonly slots: number;
  /** Running and queued requests in the last load report; 0 if there is none. */
  readonly reportedLoad: number;
  /** This daemon's own requests that started after the report or may not be included in it. */
  readonly ownSinceReport: number;
  readonly isLeaving: boolean;
  readonly isLost: boolean;
}

/** A request for which an engine must be selected without a dispatcher. */
export interface LocalRequest {
  readonly tier: Tier;
  readonly excludedUpstreams: readonly UpstreamId[];
  readonly isQuarantined: boolean;
  readonly spread: SpreadPolicy;
}

/** The selected engine, or the reason of the refusal. */
export type LocalDecision =
  | { readonly upstream: UpstreamId }
  | { readonly code: ResultCode; readonly retryAfterMs: number | undefined };
