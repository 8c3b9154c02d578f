import type { DataCentreName, SocketAddress, VmId } from '@sardinegrade/common';
import type { BrittleReport, LimitReport } from '../limits/index.js';
import type { PaceSample } from '../pace/index.js';
import type { PromptPart } from '../placement/index.js';
import type { Crash, PartEvidence } from '../quarantine/index.js';
import type { StreamOriginReport } from '../streams/index.js';
import type { OutdatedReport } from '../workers/index.js';
import type { LoadScope } from './enums.js';

/** Load that one or more VMs put on an engine. */
export interface EngineLoad {
  /** Prompt tokens of their requests that the engine has yet to prefill. */
  readonly backlogTokens: number;
  /** Number of their requests that it runs. */
  readonly runs: number;
}

/** Loads by the hash of the engine's id. An engine without an entry has no load. */
export type EngineLoads = ReadonlyMap<number, EngineLoad>;

/** Requests that wait at VMs because no engine accepts them yet. */
export interface WaitingLoad {
  readonly requests: number;
  readonly promptTokens: number;
}

/** Report of the load that one or more VMs put on the engines. */
export interface LoadReport {
  readonly vm: VmId;
  /** Start of the sender's process, in milliseconds since the epoch. */
  readonly startedAtMs: number;
  /** Increases with each message of one process. */
  readonly sequence: number;
  readonly engines: EngineLoads;
  readonly waiting: WaitingLoad;
  /** Number of VMs whose load is included. */
  readonly vmCount: number;
}

/** Records that an engine received prompt parts that were not in its prefix cache. */
export interface Placement {
  /** Hash of the engine's id. */
  readonly engine: number;
  readonly parts: readonly PromptPart[];
}

/** Events since the last report that other VMs need. */
export interface News {
  readonly placements: readonly Placement[];
  readonly crashes: readonly Crash[];
  /** What answers of workers tell about their pace. */
  readonly paceSamples: readonly PaceSample[];
}

/** State of the workers at a VM that watches them in the platform's store for others. */
export interface WorkerWatch {
  /** Revision of the store up to which the VM has applied all changes. */
  readonly revision: number;
  /** Time since the store last answered the VM about workers, in milliseconds. */
  readonly answerAgeMs: number;
}

/** Versions of the newest changes in the platform's store that a VM has applied; 0 before the first of the era. */
export interface StoreVersions {
  /** Number of times that the store has been restored from an older copy, as far as the VM knows. */
  readonly era: number;
  readonly configuration: number;
  readonly workers: number;
  /** Generation of the configuration in force at the VM, which a restored store may not have; 0 without one. */
  readonly activeGeneration: number;
  /** Time since the store has last answered the VM, in milliseconds; undefined before the first time. */
  readonly answerAgeMs: number | undefined;
  /** Time since a list or watch of the VM has last failed, in milliseconds; undefined if none has. */
  readonly failureAgeMs: number | undefined;
  /** The VM's watch of the workers, which others may follow; undefined if it does not watch for others. */
  readonly workerWatch: WorkerWatch | undefined;
}

/** A load message between VMs. */
export interface LoadMessage extends LoadReport, News {
  readonly storeVersions: StoreVersions;
  readonly dataCentre: DataCentreName;
  readonly scope: LoadScope;
  /** Time since each data centre was last seen by the sender, in milliseconds. */
  readonly dataCentreAges: ReadonlyMap<DataCentreName, number>;
  /** What the sender knows of prompt parts that may crash workers. */
  readonly partEvidence: readonly PartEvidence[];
  /** Limits that workers have named to the sender, or no longer name. */
  readonly workerLimits: readonly LimitReport[];
  /** Hashes of the ids of worker instances that have stated that they leave. */
  readonly leavingWorkers: readonly number[];
  /** Workers that the store lists since a restore, but that the sender knows to have left or did not know before. */
  readonly outdatedWorkers: readonly OutdatedReport[];
  /** Workers that have said to the sender that they are brittle, or no longer say so. */
  readonly brittleWorkers: readonly BrittleReport[];
  /** Streams that began at workers of services with several builds. */
  readonly streamOrigins: readonly StreamOriginReport[];
}

/** Another VM and the address at which it receives load messages. */
export interface Peer {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly address: SocketAddress;
}

/** A message and its destination. */
export interface OutgoingMessage {
  readonly address: SocketAddress;
  readonly message: LoadMessage;
}

/** Identifies this VM as the sender of load messages. */
export interface VmIdentity {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly startedAtMs: number;
}
