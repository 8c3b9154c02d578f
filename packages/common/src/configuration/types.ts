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
  /** Maximum time from the arrival of a request to the last byte of its answer. */
  readonly deadlineMs: number;
  /** Share of the service's capacity that the class is guaranteed under contention, between 0 and 1. */
  readonly minimumShare: number;
  /** Maximum number of queued requests of this class at one dispatcher; further ones are refused. */
  readonly queueLimit: number;
  /** Workspaces that may use the class; an empty list allows all. */
  readonly workspaces: readonly WorkspaceName[];
}

/** Limits on the retries of failed calls. */
export interface RetryConfiguration {
  /** Maximum ratio of retries to first attempts, between 0 and 1. */
  readonly budgetShare: number;
  readonly attemptLimit: number;
}

/** A service that operators configure and callers address by its name or model. */
export interface ServiceConfiguration {
  readonly name: ServiceName;
  readonly kind: ServiceKind;
  /** Model name that callers send; present for model services only. */
  readonly model: ModelName | undefined;
  readonly pool: PoolName;
  readonly dependsOn: readonly ServiceName[];
  readonly classes: ReadonlyMap<ClassName, ClassConfiguration>;
  readonly defaultClass: ClassName;
  /** HTTP methods of a plain service that are safe to retry. */
  readonly repeatableMethods: ReadonlySet<string>;
  /** Whether the upstream itself deduplicates calls by `Idempotency-Key`. */
  readonly upstreamDeduplicates: boolean;
  /**
   * Path template of the upstream's endpoint for the status of an order, with a `{key}`
   * placeholder; undefined if there is none.
   */
  readonly statusLookupPath: string | undefined;
  /** How long the record of a settled order is kept, in milliseconds. */
  readonly orderRetentionMs: number;
  readonly retry: RetryConfiguration;
}

/** A customer (tenant), who owns API keys and sends requests. */
export interface WorkspaceConfiguration {
  readonly name: WorkspaceName;
  /** SHA-256 digests, in hex, of the API keys that belong to this workspace. */
  readonly keyHashes: readonly string[];
  /** Relative share of capacity among the workspaces of a class. */
  readonly weight: number;
}

/** One inference engine or plain HTTP back end. */
export interface UpstreamConfiguration {
  readonly id: UpstreamId;
  readonly pool: PoolName;
  readonly dataCentre: DataCentreName;
  /** Base URL, `http://host:port`. */
  readonly address: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  readonly fencing: FencingSupport;
  /** Whether the operator has requested a drain. */
  readonly draining: boolean;
}

/** A complete, validated configuration, indexed by name. */
export interface Configuration {
  readonly generation: number;
  readonly text: string;
  readonly services: ReadonlyMap<ServiceName, ServiceConfiguration>;
  readonly workspaces: ReadonlyMap<WorkspaceName, WorkspaceConfiguration>;
  readonly upstreams: ReadonlyMap<UpstreamId, UpstreamConfiguration>;
}
