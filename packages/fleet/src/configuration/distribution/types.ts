import type { VmId } from '@sardinegrade/common';
import type { ConfigurationRecord } from '../../types.js';
import type { DistributionActionKind, DistributionEventKind } from './enums.js';

/** Number of consecutive failures, and the earliest time of the next attempt. */
export interface Backoff {
  readonly failures: number;
  readonly retryAtMs: number;
}

/** State of the distribution state machine. */
export interface DistributionState {
  /**
   * The newest generation that this daemon has received; undefined before the first one. It is active unless
   * this version of the program cannot parse its text.
   */
  readonly record: ConfigurationRecord | undefined;
  readonly highestKnownGeneration: number;
  /** Peers with a newer generation than that of `record`, and their generations. */
  readonly sources: ReadonlyMap<VmId, number>;
  readonly isFetching: boolean;
  readonly fetchBackoff: Backoff;
  readonly isWatcher: boolean;
  /** A read or watch of the platform is pending. */
  readonly isPlatformCallPending: boolean;
  /** Version after which to watch; undefined if the object must be read first. */
  readonly watchVersion: number | undefined;
  readonly platformBackoff: Backoff;
  /** Time of the next platform read if this daemon is not a watcher. */
  readonly checkAtMs: number;
}

/** Inputs of the state machine besides state and event. */
export interface DistributionContext {
  readonly nowMs: number;
  readonly random: () => number;
}

export type DistributionEvent =
  | { readonly kind: DistributionEventKind.Tick }
  | {
      readonly kind: DistributionEventKind.GenerationReported;
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
      /** Version after which to watch next; undefined to read the object again. */
      readonly version: number | undefined;
      /** Undefined if the object does not exist or did not change. */
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

/** The next state and the actions to perform. */
export interface DistributionStep {
  readonly state: DistributionState;
  readonly actions: readonly DistributionAction[];
}
