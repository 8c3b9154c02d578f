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

/** Names a shard: pool, data centre and number. */
export type ShardKey = Branded<'ShardKey'>;

/** Some engines of a pool in one data centre that one dispatcher looks after. */
export interface Shard {
  readonly key: ShardKey;
  readonly pool: PoolName;
  readonly dataCentre: DataCentreName;
  readonly upstreams: readonly UpstreamId[];
}

/** A live daemon, as far as dispatch is concerned. */
export interface DispatchMember {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  /** Address of its peer port. */
  readonly address: string;
}

/** Last-known load of a shard. */
export interface ShardLoad {
  /** Waiting requests by rank of their tier. */
  readonly queuedByRank: readonly number[];
  /** Places held by rank of their tier. */
  readonly grantedByRank: readonly number[];
  /** Places that its engines have for now. */
  readonly slots: number;
  readonly atMs: number;
}

/** An ask before it is addressed to a dispatcher. */
export type AskDetails = Omit<GrantRequest, 'vm' | 'heldUpstream'>;

/** Receives what becomes of an ask. */
export interface GrantListener {
  readonly onGrant: (upstream: UpstreamId, priority: number) => void;
  readonly onRefuse: (code: ResultCode, retryAfterMs: number | undefined) => void;
  readonly onPreempt: (mode: PreemptionMode) => void;
}

/** An ask on its way, or its grant. */
export interface GrantTicket {
  readonly reportProgress: (tokens: number) => void;
  /** Gives the slot back; also ends an ask that was not granted yet. */
  readonly release: (release: Omit<GrantRelease, 'askId'>) => void;
}

/** Where asks of one dispatcher are sent. */
export interface DispatchPort {
  readonly ask: (shard: ShardKey, ask: GrantRequest) => void;
  readonly withdraw: (askId: string) => void;
  readonly reportProgress: (askId: string, tokens: number) => void;
  readonly release: (release: GrantRelease) => void;
}

/** Receives what a dispatcher says. */
export interface DispatchPortListener {
  readonly onActions: (vm: VmId, actions: readonly DispatchAction[]) => void;
  readonly onLoads: (loads: ReadonlyMap<ShardKey, ShardLoad>) => void;
  readonly onLost: (vm: VmId) => void;
}
