import type { Clock } from '@sardinegrade/common';
import type { PlatformClient, PlatformVm } from '../types.js';

/** Faults and limits of a platform in memory. */
export interface PlatformBehaviour {
  /** Every call is refused. */
  readonly outage: boolean;
  /** Added to every call before it takes effect. */
  readonly delayMs: number;
  /** Part of writes whose answer is lost after they took effect, between 0 and 1. */
  readonly loseAnswers: number;
  /** Part of writes that are lost before they take effect, which the caller cannot tell apart. */
  readonly loseWrites: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** How old the list of VMs is. */
  readonly listLagMs: number;
  readonly vms: readonly PlatformVm[];
}

/** Calls that a platform in memory has received, refused ones included. */
export interface PlatformCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly limited: number;
  /** By method and kind, as in `write order`. */
  readonly byCall: Readonly<Record<string, number>>;
}

/** Sources of time and chance, and the behaviour to begin with. */
export interface MemoryPlatformOptions {
  readonly behaviour?: Partial<PlatformBehaviour>;
  readonly clock?: Clock;
  readonly random?: () => number;
}

/** The platform's object API in memory. */
export interface MemoryPlatform extends PlatformClient {
  /** Changes some of the behaviour and keeps the rest. An outage also ends the waiting watches. */
  readonly setBehaviour: (behaviour: Partial<PlatformBehaviour>) => void;
  readonly getBehaviour: () => PlatformBehaviour;
  readonly getCounts: () => PlatformCounts;
}
