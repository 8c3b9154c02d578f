import type { LeaseActionKind, LeaseEventKind, LeasePhase } from './enums.js';

/** Periods of a lease. All are measured on each daemon's own monotonic clock. */
export interface LeaseTimings {
  /** How long a write gives its writer the lease, counted from before the write was sent. */
  readonly durationMs: number;
  readonly renewIntervalMs: number;
  /** How often one that does not hold the lease looks at it. */
  readonly standbyIntervalMs: number;
  /** Longest time that an order may take to reach an engine and be carried out. */
  readonly orderDeadlineMs: number;
  /** For clocks that run at different rates, and for delays inside the machines. */
  readonly marginMs: number;
}

/** The value of a lease's object. */
export interface LeaseValue {
  readonly holder: string;
  /** Unique per acquisition, so that a holder knows its own writes. */
  readonly session: string;
  /** The holder gave the lease up with no order under way. */
  readonly isReleased: boolean;
}

/** A lease's object as it was read. */
export interface LeaseObject {
  readonly version: number;
  readonly value: LeaseValue;
}

/** A version of the lease that someone else wrote, and when it was first seen here. */
export interface LeaseSighting {
  readonly version: number;
  readonly atMs: number;
}

/** All that the lease machine knows. */
export interface LeaseState {
  readonly phase: LeasePhase;
  readonly holder: string;
  readonly session: string;
  readonly timings: LeaseTimings;
  /** The version that the next write names. */
  readonly version: number;
  /** The version that acquired the lease; 0 while not held. */
  readonly fencing: number;
  readonly validUntilMs: number;
  readonly settledAtMs: number;
  readonly sighting: LeaseSighting | undefined;
  readonly isCalling: boolean;
  readonly nextCallAtMs: number;
  /** How long this daemon waits after it has got the lease, until it gives orders. */
  readonly claimWaitMs: number;
  /** The write under way gives the lease up. */
  readonly isReleaseSent: boolean;
}

/** What a decision may use besides the state. */
export interface LeaseContext {
  /** From a clock that never jumps. */
  readonly nowMs: number;
  readonly random: () => number;
}

export type LeaseEvent =
  | { readonly kind: LeaseEventKind.Tick }
  | { readonly kind: LeaseEventKind.Read; readonly object: LeaseObject | undefined }
  | {
      readonly kind: LeaseEventKind.Written;
      readonly version: number;
      /** When the write was first sent. */
      readonly sentAtMs: number;
    }
  | { readonly kind: LeaseEventKind.Refused; readonly current: LeaseObject | undefined }
  | { readonly kind: LeaseEventKind.CallFailed }
  | { readonly kind: LeaseEventKind.Outranked }
  | { readonly kind: LeaseEventKind.Stop };

export type LeaseAction =
  | { readonly kind: LeaseActionKind.Read }
  | {
      readonly kind: LeaseActionKind.Write;
      readonly ifVersion: number;
      readonly value: LeaseValue;
      readonly sentAtMs: number;
    };

/** A new state and what is to be done. */
export interface LeaseStep {
  readonly state: LeaseState;
  readonly actions: readonly LeaseAction[];
}
