import type { VmId } from '@sardinegrade/common';
import type { ConfigurationRecord } from '../../types.js';
import type { DistributionActionKind, DistributionEventKind } from './enums.js';

/** Attempts that failed in a row, and when the next may start. */
export interface Backoff {
  readonly failures: number;
  readonly retryAtMs: number;
}

/** All that the distribution machine knows. */
export interface DistributionState {
  /** The generation in force at this daemon. */
  readonly record: ConfigurationRecord | undefined;
  readonly highestHeard: number;
  /** Peers with a newer generation than the one in force. */
  readonly sources: ReadonlyMap<VmId, number>;
  readonly isFetching: boolean;
  readonly fetchBackoff: Backoff;
  readonly isWatcher: boolean;
  /** A read or watch of the platform is under way. */
  readonly isCalling: boolean;
  /** The version to watch from; undefined where the platform has to be read first. */
  readonly watchVersion: number | undefined;
  readonly platformBackoff: Backoff;
  /** When a daemon that does not watch next reads the platform. */
  readonly checkAtMs: number;
}

/** What a decision may use besides the state. */
export interface DistributionContext {
  readonly nowMs: number;
  readonly random: () => number;
}

export type DistributionEvent =
  | { readonly kind: DistributionEventKind.Tick }
  | {
      readonly kind: DistributionEventKind.Heard;
      readonly from: VmId;
      readonly generation: number;
    }
  | { readonly kind: DistributionEventKind.WatcherChanged; readonly isWatcher: boolean }
  | {
      readonly kind: DistributionEventKind.Fetched;
      readonly record: ConfigurationRecord;
    }
  | { readonly kind: DistributionEventKind.FetchFailed; readonly from: VmId }
  | {
      readonly kind: DistributionEventKind.PlatformRead | DistributionEventKind.PlatformWatched;
      /** The version to watch from next; undefined to read anew. */
      readonly version: number | undefined;
      /** Undefined where the object does not exist or did not change. */
      readonly record: ConfigurationRecord | undefined;
    }
  | { readonly kind: DistributionEventKind.PlatformFailed }
  | { readonly kind: DistributionEventKind.Stored; readonly record: ConfigurationRecord };

export type DistributionAction =
  | {
      readonly kind: DistributionActionKind.Fetch;
      readonly from: VmId;
      readonly atLeast: number;
    }
  | { readonly kind: DistributionActionKind.Read }
  | { readonly kind: DistributionActionKind.Watch; readonly afterVersion: number }
  | { readonly kind: DistributionActionKind.Install; readonly record: ConfigurationRecord };

/** A new state and what is to be done. */
export interface DistributionStep {
  readonly state: DistributionState;
  readonly actions: readonly DistributionAction[];
}
