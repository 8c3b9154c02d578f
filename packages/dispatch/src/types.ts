import type {
  ClassName,
  Configuration,
  Fingerprint,
  RequestId,
  ResultCode,
  ServiceName,
  TraceContext,
  UpstreamId,
  VmId,
  WorkspaceName,
} from '@sardinegrade/common';
import type {
  DispatchActionKind,
  DispatchEventKind,
  DispatchPolicy,
  PreemptionMode,
  ReleaseReason,
} from './enums.js';

/** A daemon's request for a grant, called an ask in the peer protocol. Times are in the dispatcher's clock. */
export interface GrantRequest {
  /** Unique per attempt across all daemons; sent to the upstream as the attempt id, which it echoes. */
  readonly askId: string;
  readonly requestId: RequestId;
  readonly vm: VmId;
  readonly service: ServiceName;
  readonly className: ClassName;
  readonly workspace: WorkspaceName;
  /** When the request first arrived at any daemon. */
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Hashes of the prompt's prefix blocks, shortest prefix first. */
  readonly prefixBlocks: readonly number[];
  readonly fingerprint: Fingerprint;
  /** Index of the next token to stream; greater than 0 if an answer is resumed. */
  readonly resumeAt: number;
  readonly excludedUpstreams: readonly UpstreamId[];
  /** Number of the attempt, from 1. */
  readonly attempt: number;
  /** The request was running on an engine when that engine died. */
  readonly isSuspect: boolean;
  /** The upstream on which the request is already running, if its grant is registered again after a fail-over. */
  readonly heldUpstream: UpstreamId | undefined;
  /** Trace context of the span that waits for the grant; does not influence decisions. */
  readonly trace?: TraceContext | undefined;
}

/** Report of the end of a grant. */
export interface GrantRelease {
  readonly askId: string;
  readonly reason: ReleaseReason;
  readonly tokens: number;
  /** Time until the first token, in milliseconds; undefined if no token was received. */
  readonly firstTokenMs: number | undefined;
  readonly tokenIntervalMs: number | undefined;
}

/** An engine's report of its own load, which may be delayed. */
export interface LoadReport {
  readonly upstream: UpstreamId;
  /** When the engine made the report. */
  readonly atMs: number;
  readonly running: number;
  readonly queued: number;
  /** Share of its cache memory in use, between 0 and 1. */
  readonly cacheUse: number;
  /** Mean interval between tokens of one stream, in milliseconds. */
  readonly tokenIntervalMs: number;
  readonly isLeaving: boolean;
}

/** Prefix blocks that an engine stored or evicted; events may be delayed or lost. */
export interface CacheEvent {
  readonly upstream: UpstreamId;
  readonly sequence: number;
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

export type DispatchEvent =
  | { readonly kind: DispatchEventKind.Ask; readonly ask: GrantRequest }
  | { readonly kind: DispatchEventKind.Withdraw; readonly askId: string }
  | { readonly kind: DispatchEventKind.Progress; readonly askId: string; readonly tokens: number }
  | { readonly kind: DispatchEventKind.Release; readonly release: GrantRelease }
  | { readonly kind: DispatchEventKind.LoadReport; readonly report: LoadReport }
  | { readonly kind: DispatchEventKind.CacheEvent; readonly event: CacheEvent }
  | { readonly kind: DispatchEventKind.UpstreamLeaving; readonly upstream: UpstreamId }
  | { readonly kind: DispatchEventKind.UpstreamLost; readonly upstream: UpstreamId }
  | {
      readonly kind: DispatchEventKind.UpstreamProbed;
      readonly upstream: UpstreamId;
      readonly isHealthy: boolean;
    }
  | {
      readonly kind: DispatchEventKind.Quarantined;
      readonly fingerprint: Fingerprint;
      readonly untilMs: number;
    }
  | {
      readonly kind: DispatchEventKind.Configured;
      readonly configuration: Configuration;
      /** The upstreams of this dispatcher's shard. */
      readonly upstreams: readonly UpstreamId[];
    }
  /** A daemon is permanently lost: its waiting requests and its grants are removed. */
  | { readonly kind: DispatchEventKind.VmLost; readonly vm: VmId }
  /** Sent several times a second to check deadlines, probes and stragglers. */
  | { readonly kind: DispatchEventKind.Tick };

export type DispatchAction =
  | {
      readonly kind: DispatchActionKind.Grant;
      readonly askId: string;
      readonly upstream: UpstreamId;
      /** Priority that is passed to the engine; lower values are served first. */
      readonly priority: number;
    }
  | {
      readonly kind: DispatchActionKind.Refuse;
      readonly askId: string;
      readonly code: ResultCode;
      /** Delay before the caller may retry; undefined if a retry would not help. */
      readonly retryAfterMs: number | undefined;
    }
  | {
      readonly kind: DispatchActionKind.Preempt;
      readonly askId: string;
      readonly mode: PreemptionMode;
    }
  | { readonly kind: DispatchActionKind.ProbeUpstream; readonly upstream: UpstreamId }
  | {
      readonly kind: DispatchActionKind.Quarantine;
      readonly fingerprint: Fingerprint;
      readonly untilMs: number;
    };

/** State of a dispatcher, for the status view. */
export interface DispatcherSnapshot {
  /** Number of waiting requests by `service/class`. */
  readonly queuedByClass: Readonly<Record<string, number>>;
  /** Number of granted requests by `service/class`. */
  readonly grantedByClass?: Readonly<Record<string, number>>;
  readonly upstreams: readonly {
    readonly upstream: UpstreamId;
    readonly granted: number;
    readonly limit: number;
    readonly health: string;
  }[];
}

/** Decides which request runs on which engine. Has no side effects besides its own state; time is passed in. */
export interface Dispatcher {
  /**
   * Handles one event.
   *
   * @param event - the event
   * @param nowMs - current time, in milliseconds since the epoch; must not decrease between calls
   * @returns the actions to perform, in order
   */
  readonly handle: (event: DispatchEvent, nowMs: number) => readonly DispatchAction[];
  /** @returns queue lengths and the state of each upstream */
  readonly describe: () => DispatcherSnapshot;
}

/** Returns random numbers of at least 0 and below 1. */
export type RandomSource = () => number;

/** Parts of the tiered policy that can be switched off for comparisons. */
export interface DispatcherTuning {
  /** Whether concurrency limits adapt to measured latency; otherwise they equal the engines' slots. */
  readonly adaptsLimits: boolean;
  /** How running requests are preempted; undefined if they never are. */
  readonly preemption: PreemptionMode.Pause | PreemptionMode.Cancel | undefined;
  readonly usesPrefixes: boolean;
  readonly detectsStragglers: boolean;
}

/** Options for creating a dispatcher. */
export interface DispatcherOptions {
  readonly policy: DispatchPolicy;
  readonly random: RandomSource;
  /** All parts are enabled by default. */
  readonly tuning?: Partial<DispatcherTuning>;
}
