import type { DataCentreName, ServiceName } from '@sardinegrade/common';
import type { ScalingBounds } from '@sardinegrade/routing';
import type { PlanReason, WorkerKind } from './enums.js';

/** Number of workers of each kind. */
export type WorkerCounts = Readonly<Record<WorkerKind, number>>;

/** Number of workers of each kind by data centre. */
export type Allocation = ReadonlyMap<DataCentreName, WorkerCounts>;

/** Load of all engines of a service at one moment, as the load messages tell it, or a mean of such loads. */
export interface EngineDemand {
  /** Requests that engines run, and those that wait at VMs. */
  readonly requests: number;
  /** Engines that have prompt tokens to prefill. Their mean number is the load of prefill in engines, however many there are. */
  readonly busyEngines: number;
  /** Prompt tokens that engines have yet to prefill, and those of requests that wait at VMs. */
  readonly pendingTokens: number;
}

/** What one engine of a service can do, and what callers expect. */
export interface EngineProfile {
  readonly slots: number;
  readonly prefillTokensPerMs: number;
  /** Longest latency target for the first event among the routes of the service, in milliseconds. */
  readonly targetMs: number;
  /**
   * Engines whose prefix caches together can hold the shared parts in use; 0 if unknown. With fewer, parts are evicted before
   * they are used again, and reading them anew takes more engines than were saved.
   */
  readonly workingSetEngines?: number;
}

/** One service whose number of workers is decided here. */
export interface ServiceView {
  readonly service: ServiceName;
  readonly bounds: ScalingBounds;
  /** Undefined if the service has no engines, or no route leads to it. */
  readonly engine: EngineProfile | undefined;
  readonly demand: EngineDemand;
  /** Workers that take new requests. */
  readonly ready: Allocation;
  /** Workers that are leaving. */
  readonly leaving: Allocation;
}

/** What this VM knows when it decides. */
export interface CapacityView {
  /** Age of the list of workers, in milliseconds; 0 while the watch of the workers works. */
  readonly ageMs: number;
  /** VMs whose load this VM knows, and all listed VMs, this one included in both. */
  readonly heardVmCount: number;
  readonly listedVmCount: number;
  /** Data centres that this VM cannot reach at present. */
  readonly unreachable: ReadonlySet<DataCentreName>;
  readonly services: readonly ServiceView[];
}

/** Demand of the last seconds. */
export interface DemandEstimate {
  /** Largest mean of one second. */
  readonly peak: EngineDemand;
  readonly mean: EngineDemand;
  /** Time that the estimate covers, in milliseconds. */
  readonly coveredMs: number;
}

/** Number of workers that the plan has to keep. */
export interface CapacityNeeds {
  /** Workers of both kinds. */
  readonly total: number;
  /** Workers that remain if the largest group of spot workers is lost. */
  readonly afterLoss: number;
  /** Ordinary workers. */
  readonly ordinary: number;
}

/** State of a service's workers in one data centre. */
export interface SiteState {
  readonly dataCentre: DataCentreName;
  readonly ready: WorkerCounts;
  /** Workers that serve or are about to, according to the last order. */
  readonly inForce: WorkerCounts;
  /** Whether more workers can be ordered; false for some time after the host platform had none. */
  readonly canOrder: Readonly<Record<WorkerKind, boolean>>;
  /** Whether the data centre is partitioned from this VM: its workers are not counted, and no order is sent for it. */
  readonly isCut: boolean;
}

/** Inputs of a plan. */
export interface PlanInput {
  readonly bounds: ScalingBounds;
  readonly engine: EngineProfile;
  readonly demand: DemandEstimate;
  readonly sites: readonly SiteState[];
  /** Whether workers may be given up now. */
  readonly mayReduce: boolean;
}

/** The number of workers that is to be in force. */
export interface CapacityPlan {
  readonly reason: PlanReason;
  readonly allocation: Allocation;
  readonly needs: CapacityNeeds;
}
