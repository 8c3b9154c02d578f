import type { VmId, WorkspaceName } from '@sardinegrade/common';

/** Counts of requests that began to run, by workspace. */
export type WorkspaceCounts = ReadonlyMap<WorkspaceName, number>;

/** One process of a VM: a VM that has been restarted counts from zero again. */
export interface VmProcess {
  readonly vm: VmId;
  /** Wall-clock time at which the process started; it only identifies the process. */
  readonly startedAtMs: number;
}

/** What the holder states and asks when it fetches the counts of a VM. */
export interface UsageRequest {
  /** First window whose counts are wanted. */
  readonly firstWindow: number;
  /** Fleet time, in milliseconds; undefined while the holder does not know it. */
  readonly timeMs: number | undefined;
}

/** What a VM knows about the requests that began to run on it. */
export interface UsagePage {
  readonly process: VmProcess;
  /** Wall clock of the VM, in milliseconds. */
  readonly wallMs: number;
  /** Fleet time as the VM knows it, in milliseconds: windows that ended before it have their final counts. */
  readonly timeMs: number;
  readonly windows: ReadonlyMap<number, WorkspaceCounts>;
}

/** What the store holds: reports are recorded here before they are sent, and are repeated from here. */
export interface UsageRecord {
  /** Era of the store in which the record was written. */
  readonly era: number;
  /** Windows up to this one are never reported anew. */
  readonly highestWindow: number;
  /** The last reports, by window. */
  readonly reports: ReadonlyMap<number, WorkspaceCounts>;
}
