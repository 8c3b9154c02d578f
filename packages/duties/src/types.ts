import type {
  DataCentreName,
  ServiceName,
  SocketAddress,
  WorkspaceName,
} from '@sardinegrade/common';
import type { DutyKind, DutyOutcome } from './enums.js';

/** What the settings say about the calls that one VM makes for all. */
export interface DutySettings {
  /** Address of the host platform's API. */
  readonly address: SocketAddress;
  readonly kinds: ReadonlySet<DutyKind>;
  /** Whether the API refuses calls with an old fencing number. */
  readonly isFencingChecked: boolean;
  /** Time within which no VM may act again after another one has acted, in milliseconds. */
  readonly leaseMs: number;
  /** Length of a usage window, in milliseconds. */
  readonly usageWindowMs: number;
  /** Time after the end of a window at which its report is due, in milliseconds. */
  readonly usageDueMs: number;
}

/** Permission to make one call now. It must be requested again for each call, right before its bytes are sent. */
export interface DutyPermit {
  /** Fencing number; it rises with each change of the holder. */
  readonly fence: number;
}

/** This VM's part in the choice of the VM that makes the calls. */
export interface DutyHolder {
  /** Whether this VM holds the duties; it may still have no permit at present. */
  readonly isHolder: () => boolean;
  /** @returns a permit for a call that starts now; undefined if none may be made */
  readonly claimPermit: () => DutyPermit | undefined;
}

/** Requests that began to run in one usage window, by workspace. */
export interface UsageReport {
  readonly window: number;
  readonly counts: ReadonlyMap<WorkspaceName, number>;
}

/** An order of workers of one service in one data centre. */
export interface WorkerOrder {
  readonly service: ServiceName;
  readonly dataCentre: DataCentreName;
  readonly count: number;
  /** Whether the number is of spot workers; each kind is counted by itself. */
  readonly isSpot: boolean;
}

/** Client of the host platform's API. Each call claims a permit right before it is sent. It does not reject. */
export interface DutyClient {
  readonly reportUsage: (report: UsageReport) => Promise<DutyOutcome>;
  readonly orderWorkers: (order: WorkerOrder) => Promise<DutyOutcome>;
}

/** Value and version of an object of the duties in the store. */
export interface DutyRecord {
  readonly value: unknown;
  /** Era and revision of the object; passed to the next conditional write. */
  readonly version: number;
}

/** The store, as the duties use it. Its calls reject with `PlatformError`. */
export interface DutyStore {
  /** Reads an object; undefined if it does not exist. */
  readonly read: (name: string) => Promise<DutyRecord | undefined>;
  /**
   * Writes an object if it has this version, or creates it if the version is undefined. A lost answer is read back.
   *
   * @returns the new version, or undefined if the object has another version
   */
  readonly write: (
    name: string,
    value: unknown,
    version: number | undefined,
  ) => Promise<number | undefined>;
  /** Number of times that the store has been restored from an older copy, as far as this VM knows. */
  readonly getEra: () => number;
}
