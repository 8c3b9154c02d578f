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

/** Someone who may use the administration API. */
export interface Administrator {
  readonly name: string;
  readonly roles: ReadonlySet<AdministratorRole>;
  /** Hex SHA-256 digests of the administrator's keys. */
  readonly keyHashes: readonly string[];
}

/** What this daemon's dispatchers and upstream clients know of one upstream. */
export interface UpstreamState {
  readonly upstream: UpstreamId;
  /** One word, such as `healthy`, `slow`, `probing`, `leaving` or `lost`. */
  readonly health: string;
  readonly isInUse: boolean;
  readonly granted: number;
  readonly limit: number;
}

/** Requests of one class that wait at this daemon's dispatchers. */
export interface QueueState {
  readonly service: ServiceName;
  readonly className: ClassName;
  readonly queued: number;
}

/** One line of an order's audit trail. */
export interface OrderAuditEntry {
  readonly atMs: number;
  readonly by: string;
  readonly event: string;
  readonly to: string;
  readonly reason: string;
}

/** What operators see of an order's record; request and answer bodies are left out. */
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
  /** Until the order may be settled as not run; absent where it is not open. */
  readonly notRunWaitMs?: number | undefined;
  /** Needed to settle the order as not run; given once no call can still be on its way. */
  readonly settlementToken?: string | undefined;
}

/** Names one order. */
export interface OrderReference {
  readonly workspace: string;
  readonly service: string;
  readonly key: string;
}

/** Which orders to list. */
export interface OrderQuery {
  readonly workspace: string | undefined;
  readonly service: string | undefined;
  readonly state: string | undefined;
  /** The last page's `next`. */
  readonly after: string | undefined;
  readonly limit: number;
}

/** One page of orders. */
export interface OrderPage {
  readonly orders: readonly AdministeredOrder[];
  readonly next: string | undefined;
}

/** What an operator found out about an order. */
export interface OrderSettlement {
  readonly wasRun: boolean;
  readonly reason: string;
  readonly operator: string;
  /** From the order as last shown; needed to settle it as not run. */
  readonly settlementToken?: string | undefined;
}

/** Orders as operators handle them. Methods reject with SardinegradeError. */
export interface OrderAdministration {
  readonly list: (query: OrderQuery) => Promise<OrderPage>;
  readonly show: (order: OrderReference) => Promise<AdministeredOrder | undefined>;
  readonly settle: (
    order: OrderReference,
    settlement: OrderSettlement,
  ) => Promise<AdministeredOrder>;
}

/** The part of the fleet agent that operators see and change. */
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

/** What the administration API shows and changes; the daemon's wiring implements it. */
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
  /** Whether the daemon takes callers' requests. */
  readonly isReady: () => boolean;
}
