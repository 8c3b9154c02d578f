import type { LeaseActionKind, LeaseEventKind, LeasePhase } from './enums.js';

/** Timings of a lease, in milliseconds of each daemon's own monotonic clock. */
export interface LeaseTimings {
  /** Validity of the lease after a write, counted from the time at which the write was sent. */
  readonly durationMs: number;
  readonly renewIntervalMs: number;
  /** Interval at which a daemon on standby reads the lease. */
  readonly standbyIntervalMs: number;
  /** Maximum time for an engine order, or another call that the lease protects, to arrive and be executed. */
  readonly orderDeadlineMs: number;
  /** Safety margin for clocks that run at different rates and for delays within a machine. */
  readonly marginMs: number;
  /**
   * Time between acquiring a lease that its holder has released and the first order; 0 if undefined. Holders that alternate
   * faster than this would act in the order A, B, A.
   */
  readonly releasedWaitMs?: number | undefined;
}

/** Value of the lease object in the platform. */
export interface LeaseValue {
  readonly holder: string;
  /** Unique id of the agent that wrote the value, by which a holder recognises its own writes. */
  readonly session: string;
  /** The holder has released the lease and had no engine order in flight. */
  readonly isReleased: boolean;
  /**
   * Era of the version that this value replaced. A release of another era comes from a restored copy or from a late write,
   * and a holder that acquired the lease after it may still send orders.
   */
  readonly era: number;
}

/** The lease object and its version, as read from the platform. */
export interface LeaseObject {
  readonly version: number;
  readonly value: LeaseValue;
}

/** The last observed version of a lease held by another daemon, and the local time of its first observation. */
export interface ObservedLease {
  readonly version: number;
  readonly firstSeenAtMs: number;
}

/** State of the lease state machine. */
export interface LeaseState {
  readonly phase: LeasePhase;
  readonly holder: string;
  readonly session: string;
  readonly timings: LeaseTimings;
  /** Expected version of the next conditional write. */
  readonly version: number;
  /** Fencing number: the version of the write that acquired the lease; 0 if the lease is not held. */
  readonly fencing: number;
  readonly validUntilMs: number;
  /**
   * Time at which the phase Settling ends, in milliseconds; Infinity before the lease is acquired and after it
   * is lost.
   */
  readonly settlingEndsAtMs: number;
  readonly observed: ObservedLease | undefined;
  readonly isCallPending: boolean;
  readonly nextCallAtMs: number;
  /** Time between acquiring the lease and sending the first engine order, in milliseconds. */
  readonly claimWaitMs: number;
  /** Time before which a daemon on standby does not claim the lease, in milliseconds. */
  readonly claimableFromMs: number;
  /** The pending write releases the lease. */
  readonly isReleaseSent: boolean;
}

/** Inputs of the state machine besides state and event. */
export interface LeaseContext {
  /** Current time of a monotonic clock, in milliseconds. */
  readonly nowMs: number;
  readonly random: () => number;
}

export type LeaseEvent =
  | { readonly kind: LeaseEventKind.Tick }
  | { readonly kind: LeaseEventKind.Read; readonly object: LeaseObject | undefined }
  | {
      readonly kind: LeaseEventKind.Written;
      readonly version: number;
      /** Time at which the write was first sent. */
      readonly sentAtMs: number;
    }
  | { readonly kind: LeaseEventKind.WriteConflict; readonly current: LeaseObject | undefined }
  | { readonly kind: LeaseEventKind.CallFailed }
  | { readonly kind: LeaseEventKind.Fenced }
  | { readonly kind: LeaseEventKind.Renew }
  | {
      readonly kind: LeaseEventKind.Pause;
      /** Time before which the lease is not claimed again, in milliseconds. */
      readonly untilMs: number;
    }
  | { readonly kind: LeaseEventKind.Stop };

export type LeaseAction =
  | { readonly kind: LeaseActionKind.Read }
  | {
      readonly kind: LeaseActionKind.Write;
      readonly ifVersion: number;
      readonly value: LeaseValue;
      readonly sentAtMs: number;
    };

/** The next state and the actions to perform. */
export interface LeaseStep {
  readonly state: LeaseState;
  readonly actions: readonly LeaseAction[];
}
