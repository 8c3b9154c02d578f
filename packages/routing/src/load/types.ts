import type { DataCentreName, SocketAddress, VmId } from '@sardinegrade/common';
import type { PromptPart } from '../placement/index.js';
import type { Crash } from '../quarantine/index.js';
import type { LoadScope } from './enums.js';

/** What VMs have sent to one engine. */
export interface EngineLoad {
  /** Prompt tokens that the engine still has to read for them. */
  readonly backlogTokens: number;
  /** Requests that it runs for them. */
  readonly runs: number;
}

/** Loads by the hash of the engine's id; engines that are not named have no work of those told of. */
export type EngineLoads = ReadonlyMap<number, EngineLoad>;

/** What a VM says about work at the engines. */
export interface LoadReport {
  readonly vm: VmId;
  /** Start of the VM's process, in milliseconds since the epoch. */
  readonly startedAtMs: number;
  /** Grows with each report of one process. */
  readonly sequence: number;
  readonly engines: EngineLoads;
  /** VMs whose work is told. */
  readonly vmCount: number;
}

/** A prompt that was sent to an engine that did not hold its shared parts. */
export interface Placement {
  /** Hash of the engine's id. */
  readonly engine: number;
  readonly parts: readonly PromptPart[];
}

/** What happened that other VMs want to know. */
export interface News {
  readonly placements: readonly Placement[];
  readonly crashes: readonly Crash[];
}

/** One message between VMs. */
export interface LoadMessage extends LoadReport, News {
  readonly dataCentre: DataCentreName;
  readonly scope: LoadScope;
  /** Data centres that the sender hears of, with the time since, in milliseconds. */
  readonly dataCentreAges: ReadonlyMap<DataCentreName, number>;
}

/** Another VM. */
export interface Peer {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly address: SocketAddress;
}

/** A message and where it goes. */
export interface OutgoingMessage {
  readonly address: SocketAddress;
  readonly message: LoadMessage;
}

/** Names the VM that owns a load view. */
export interface VmIdentity {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly startedAtMs: number;
}
