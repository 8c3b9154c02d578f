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

/** A request for an engine slot. Times are in the dispatcher's own clock. */
export interface GrantAsk {
  /** Unique per attempt across all daemons; the attempt id that the upstream echoes. */
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
  /** Number of the next token to stream; above 0 when an answer resumes. */
  readonly resumeAt: number;
  readonly excludedUpstreams: readonly UpstreamId[];
  /** Counted from 1. */
  readonly attempt: number;
  /** The request was running on an engine when that engine died. */
  readonly isSuspect: boolean;
  /** An upstream on which the request already runs, when the ask re-registers after a fail-over. */
  readonly heldUpstream: UpstreamId | undefined;
  /** The span that waits for the grant; decides nothing. */
  readonly trace?: TraceContext | undefined;
}

/** What the end of a grant tells the dispatcher. */
export interface GrantRelease {
  readonly askId: string;
  readonly reason: ReleaseReason;
  readonly tokens: number;
  /** Undefined where no token came. */
  readonly firstTokenMs: number | undefined;
  readonly tokenIntervalMs: number | undefined;
}

/** An engine's own account of its load; it lags. */
export interface LoadReport {
  readonly upstream: UpstreamId;
  /** When the engine made the report. */
  readonly atMs: number;
  readonly running: number;
  readonly queued: number;
  /** Part of its cache memory in use, between 0 and 1. */
  readonly cacheUse: number;
  /** Mean interval between tokens of one stream. */
  readonly tokenIntervalMs: number;
  readonly isLeaving: boolean;
}

/** A prefix block stored or evicted by an engine; events come late and with gaps. */
export interface CacheEvent {
  readonly upstream: UpstreamId;
  readonly sequence: number;
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

export type DispatchEvent =
  | { readonly kind: DispatchEventKind.Ask; readonly ask: GrantAsk }
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
  /** A daemon is gone for good: its waiting asks are dropped and its grants no longer accounted. */
  | { readonly kind: DispatchEventKind.VmLost; readonly vm: VmId }
  /** To be sent several times a second: deadlines, probes and stragglers are checked then. */
  | { readonly kind: DispatchEventKind.Tick };

export type DispatchAction =
  | {
      readonly kind: DispatchActionKind.Grant;
      readonly askId: string;
      readonly upstream: UpstreamId;
      /** Priority to give the engine; lower is served first. */
      readonly priority: number;
    }
  | {
      readonly kind: DispatchActionKind.Refuse;
      readonly askId: string;
      readonly code: ResultCode;
      /** When the caller may ask again; undefined where a retry is of no use. */
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

/** What a dispatcher knows, for the status view. */
export interface DispatcherSnapshot {
  /** Waiting asks by `service/class`. */
  readonly queuedByClass: Readonly<Record<string, number>>;
  /** Places held, by `service/class`. */
  readonly grantedByClass?: Readonly<Record<string, number>>;
  readonly upstreams: readonly {
    readonly upstream: UpstreamId;
    readonly granted: number;
    readonly limit: number;
    readonly health: string;
  }[];
}

/** Decides which request runs on which engine. Pure but for its own state: time is passed in. */
export interface Dispatcher {
  /**
   * Takes one event into account.
   *
   * @param event - what happened
   * @param nowMs - the present, in milliseconds since the epoch; never decreasing
   * @returns what is to be done, in order
   */
  readonly handle: (event: DispatchEvent, nowMs: number) => readonly DispatchAction[];
  /** @returns queue lengths and the state of each upstream */
  readonly describe: () => DispatcherSnapshot;
}

/** A source of random numbers, at least 0 and below 1. */
export type RandomSource = () => number;

/** Parts of the tiered policy that a comparison may switch off. */
export interface DispatcherTuning {
  /** Whether concurrency limits follow measured latency; else they are the engines' slots. */
  readonly adaptsLimits: boolean;
  /** How running requests make room; undefined where they never do. */
  readonly preemption: PreemptionMode.Pause | PreemptionMode.Cancel | undefined;
  readonly usesPrefixes: boolean;
  readonly detectsStragglers: boolean;
}

/** What a dispatcher is made of. */
export interface DispatcherOptions {
  readonly policy: DispatchPolicy;
  readonly random: RandomSource;
  /** All parts are on by default. */
  readonly tuning?: Partial<DispatcherTuning>;
}
