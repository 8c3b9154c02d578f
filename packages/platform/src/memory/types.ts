import type { Clock } from '@sardinegrade/common';
import type { PlatformClient, PlatformVm } from '../types.js';

/** Faults and limits of an in-memory platform. */
export interface PlatformBehaviour {
  /** Whether every call fails as `unavailable`. */
  readonly outage: boolean;
  /** Delay of every call before it takes effect, in milliseconds. */
  readonly delayMs: number;
  /** Fraction of writes whose response is lost after they took effect, between 0 and 1. */
  readonly loseAnswers: number;
  /** Fraction of writes that are lost before they take effect; the caller cannot distinguish the two cases. */
  readonly loseWrites: number;
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
  /** Age of the VM list that is returned, in milliseconds. */
  readonly listLagMs: number;
  readonly vms: readonly PlatformVm[];
}

/** Numbers of calls that an in-memory platform has received, including rejected ones. */
export interface PlatformCounts {
  readonly reads: number;
  readonly writes: number;
  readonly watches: number;
  readonly limited: number;
  /** By method and kind, as in `write order`. */
  readonly byCall: Readonly<Record<string, number>>;
}

/** Initial behaviour, and sources of time and randomness. */
export interface MemoryPlatformOptions {
  readonly behaviour?: Partial<PlatformBehaviour>;
  readonly clock?: Clock;
  readonly random?: () => number;
}

/** In-memory implementation of the platform's object API. */
export interface MemoryPlatform extends PlatformClient {
  /** Changes the given parts of the behaviour. An outage also ends the waiting watches. */
  readonly setBehaviour: (behaviour: Partial<PlatformBehaviour>) => void;
  readonly getBehaviour: () => PlatformBehaviour;
  readonly getCounts: () => PlatformCounts;
}
