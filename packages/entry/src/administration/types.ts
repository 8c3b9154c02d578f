import type {
  AdministratorRole,
  ClassName,
  Clock,
  DataCentreName,
  Logger,
  Metrics,
  RecentTraces,
  ServiceName,
  UpstreamId,
  VmId,
} from '@sardinegrade/common';
import type { FleetAgent } from '@sardinegrade/fleet';
import type { RequestJournal } from './journal/index.js';

/** A user of the administration API. */
export interface Administrator {
  readonly name: string;
  readonly roles: ReadonlySet<AdministratorRole>;
  /** Hex SHA-256 digests of the administrator's keys. */
  readonly keyHashes: readonly string[];
}

/** State of one upstream, as reported by the dispatchers of this daemon, or by the fleet if the upstream is down. */
export interface UpstreamState {
  readonly upstream: UpstreamId;
  /** An `EngineHealth` value, such as `healthy`, `reduced` or `lost`; `down` if the fleet reports it as unreachable. */
  readonly health: string;
  /** Whether the upstream receives new requests. */
  readonly isInUse: boolean;
  readonly granted: number;
  readonly limit: number;
}

/** Number of requests of one class that are queued in the dispatchers of this daemon. */
export interface QueueState {
  readonly service: ServiceName;
  readonly className: ClassName;
  readonly queued: number;
}

/** One entry of an order's audit trail. */
export interface OrderAuditEntry {
  readonly atMs: number;
  readonly by: string;
  readonly event: string;
  readonly to: string;
  readonly reason: string;
}

/** An order's record without the request and answer bodies, as shown to administrators. */
export interface AdministeredOrder {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
  readonly state: string;
  readonly requestId: string;
  readonly owner: string;
  readonly acceptedAtMs: number;
  readonly dispatchedAtMs?: number | undefined;
  readonly settledAtMs?: number | undefined;
  readonly answer?: { readonly status: number; readonly bytes: number } | undefined;
  readonly audit: readonly OrderAuditEntry[];
  /** Time until the order may be settled as not run; set only on a shown order that is unknown or dispatching. */
  readonly notRunWaitMs?: number | undefined;
  /** Required to settle the order as not run; set only when no call of the order can still be in flight. */
  readonly settlementToken?: string | undefined;
}

/** Identifies one order. */
export interface OrderReference {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
}

/** Filter and page of an order list; undefined fields do not filter. */
export interface OrderQuery {
  readonly workspace: string | undefined;
  readonly service: string | undefined;
  readonly state: string | undefined;
  /** `next` of the previous page; undefined for the first page. */
  readonly after: string | undefined;
  readonly limit: number;
}

/** One page of orders. */
export interface OrderPage {
  readonly orders: readonly AdministeredOrder[];
  /** Start of the next page; undefined on the last one. */
  readonly next: string | undefined;
}

/** An administrator's decision on an order whose outcome is unknown. */
export interface OrderSettlement {
  readonly wasRun: boolean;
  readonly reason: string;
  readonly operator: string;
  /** Token of the order as it was last shown; required to settle it as not run. */
  readonly settlementToken?: string | undefined;
}

/** Operations of administrators on orders. Methods reject with SardinegradeError. */
export interface OrderAdministration {
  readonly list: (query: OrderQuery) => Promise<OrderPage>;
  readonly show: (order: OrderReference) => Promise<AdministeredOrder | undefined>;
  readonly settle: (
    order: OrderReference,
    settlement: OrderSettlement,
  ) => Promise<AdministeredOrder>;
}

/** Methods of the fleet agent that the administration API uses. */
export type FleetAdministration = Pick<
  FleetAgent,
  | 'getMembers'
  | 'getMemberGeneration'
  | 'getConfiguration'
  | 'getConfigurationStatus'
  | 'applyConfiguration'
  | 'restoreConfiguration'
  | 'listHistory'
  | 'setDrain'
>;

/** Daemon state that the administration API reads and changes; built by createAdministrationContext. */
export interface AdministrationContext {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly clock: Clock;
  readonly newId: () => string;
  readonly logger: Logger;
  readonly administrators: readonly Administrator[];
  readonly fleet: FleetAdministration;
  readonly orders: OrderAdministration;
  readonly metrics: Metrics;
  readonly traces: RecentTraces;
  readonly journal: RequestJournal;
  readonly listUpstreamStates: () => readonly UpstreamState[];
  readonly listQueues: () => readonly QueueState[];
  /** Whether the daemon accepts requests from callers. */
  readonly isReady: () => boolean;
}
