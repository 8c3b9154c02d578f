import type {
  ClassName,
  DataCentreName,
  ModelName,
  PoolName,
  ServiceName,
  UpstreamId,
  WorkspaceName,
} from '../ids/index.js';
import type { FencingSupport, ServiceKind, Tier } from './enums.js';

/** A class of requests within a service. */
export interface ClassConfiguration {
  readonly name: ClassName;
  readonly tier: Tier;
  /** Order within the tier; 0 is served first. */
  readonly priority: number;
  readonly firstTokenTargetMs: number;
  readonly tokenIntervalTargetMs: number;
  /** The longest that a request may take from arrival to its last byte. */
  readonly deadlineMs: number;
  /** Guaranteed part of the service's capacity under contention, between 0 and 1. */
  readonly minimumShare: number;
  /** Requests that may wait in this class at one dispatcher before new ones are refused. */
  readonly queueLimit: number;
  /** The workspaces that may use the class; empty means all. */
  readonly workspaces: readonly WorkspaceName[];
}

/** How often failed calls may be repeated. */
export interface RetryConfiguration {
  /** Retries as a share of first attempts, between 0 and 1. */
  readonly budgetShare: number;
  readonly attemptLimit: number;
}

/** A service that callers name and operators configure. */
export interface ServiceConfiguration {
  readonly name: ServiceName;
  readonly kind: ServiceKind;
  /** The model that callers name; present for model services only. */
  readonly model: ModelName | undefined;
  readonly pool: PoolName;
  readonly dependsOn: readonly ServiceName[];
  readonly classes: ReadonlyMap<ClassName, ClassConfiguration>;
  readonly defaultClass: ClassName;
  /** HTTP methods of a plain service whose calls may be repeated. */
  readonly repeatableMethods: ReadonlySet<string>;
  /** Whether the upstream de-duplicates calls by `Idempotency-Key` itself. */
  readonly upstreamDeduplicates: boolean;
  /** Path template of the upstream's status look-up, with `{key}` in it; absent where it has none. */
  readonly statusLookupPath: string | undefined;
  /** How long a settled order's record is kept. */
  readonly orderRetentionMs: number;
  readonly retry: RetryConfiguration;
}

/** A customer of the operators, who owns keys and sends requests. */
export interface WorkspaceConfiguration {
  readonly name: WorkspaceName;
  /** Hex SHA-256 digests of the keys that name this workspace. */
  readonly keyHashes: readonly string[];
  /** Share against other workspaces of the same class. */
  readonly weight: number;
}

/** One engine or plain back end. */
export interface UpstreamConfiguration {
  readonly id: UpstreamId;
  readonly pool: PoolName;
  readonly dataCentre: DataCentreName;
  /** Base address, `http://host:port`. */
  readonly address: string;
  /** Requests that it runs side by side at most. */
  readonly slots: number;
  readonly fencing: FencingSupport;
  /** The operator has asked that it be drained. */
  readonly draining: boolean;
}

/** A whole configuration, valid and indexed. */
export interface Configuration {
  readonly generation: number;
  readonly text: string;
  readonly services: ReadonlyMap<ServiceName, ServiceConfiguration>;
  readonly workspaces: ReadonlyMap<WorkspaceName, WorkspaceConfiguration>;
  readonly upstreams: ReadonlyMap<UpstreamId, UpstreamConfiguration>;
}
