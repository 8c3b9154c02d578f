import type {
  Branded,
  DataCentreName,
  PoolName,
  ResultCode,
  UpstreamId,
  VmId,
} from '@sardinegrade/common';
import type {
  DispatchAction,
  GrantRequest,
  GrantRelease,
  PreemptionMode,
} from '@sardinegrade/dispatch';

/** Identifies a shard, in the form `pool/dataCentre/number`. */
export type ShardKey = Branded<'ShardKey'>;

/** A group of engines of one pool in one data centre, served by one dispatcher. */
export interface Shard {
  readonly key: ShardKey;
  readonly pool: PoolName;
  readonly dataCentre: DataCentreName;
  readonly upstreams: readonly UpstreamId[];
}

/** A live daemon that can run dispatchers. */
export interface DispatchMember {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  /** Address of its peer port. */
  readonly address: string;
}

/** Last-known load of a shard. */
export interface ShardLoad {
  /** Waiting requests, by rank of their tier. */
  readonly queuedByRank: readonly number[];
  /** Slots in use, by rank of the tier of their requests. */
  readonly grantedByRank: readonly number[];
  /** Total slots of the shard's engines under their current limits. */
  readonly slots: number;
  readonly atMs: number;
}

/** A grant request before it is addressed to a dispatcher. */
export type GrantRequestDetails = Omit<GrantRequest, 'vm' | 'heldUpstream'>;

/** Receives the decisions on a grant request. */
export interface GrantListener {
  readonly onGrant: (upstream: UpstreamId, priority: number) => void;
  readonly onRefuse: (code: ResultCode, retryAfterMs: number | undefined) => void;
  readonly onPreempt: (mode: PreemptionMode) => void;
}

/** Handle of a grant request or of its grant. */
export interface GrantTicket {
  readonly reportProgress: (tokens: number) => void;
  /** Releases the slot; withdraws the request if it was not granted yet. */
  readonly release: (release: Omit<GrantRelease, 'askId'>) => void;
}

/** Sends requests and reports to the dispatchers of one daemon. */
export interface DispatcherConnection {
  readonly requestGrant: (shard: ShardKey, ask: GrantRequest) => void;
  readonly withdraw: (askId: string) => void;
  readonly reportProgress: (askId: string, tokens: number) => void;
  readonly release: (release: GrantRelease) => void;
}

/** Receives the messages of the dispatchers of other daemons. */
export interface DispatcherConnectionListener {
  readonly onActions: (vm: VmId, actions: readonly DispatchAction[]) => void;
  readonly onLoads: (loads: ReadonlyMap<ShardKey, ShardLoad>) => void;
  readonly onDisconnect: (vm: VmId) => void;
}
