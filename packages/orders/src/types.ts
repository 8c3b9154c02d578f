import type {
  AttemptId,
  Clock,
  RequestId,
  SardinegradeError,
  ServiceConfiguration,
  ServiceName,
  VmId,
  WorkspaceName,
} from '@sardinegrade/common';
import type { PlatformClient } from '@sardinegrade/platform';
import type { CallOutcome, LookupOutcome, OrderEvent, OrderState, SaveOutcome } from './enums.js';
import type { WriteBudget } from './writeBudget.js';

/** Headers forwarded between caller and service, keyed by lower-case name. */
export type RelayedHeaders = Readonly<Record<string, string>>;

/** A caller's request to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  /** Path and query, relative to the service. */
  readonly path: string;
  readonly headers: RelayedHeaders;
  readonly body: Buffer;
}

/** A service's complete answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: RelayedHeaders;
  readonly body: Buffer;
}

/** A call of a service for one attempt of an order. */
export interface ServiceCall {
  readonly service: ServiceConfiguration;
  readonly request: ServiceRequest;
  /** The key sent to the service: the caller's key, prefixed with the workspace. */
  readonly scopedKey: string;
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly traceparent: string;
  readonly timeoutMs: number;
  /** Checked on an open connection right before the first byte is sent; if it returns false, nothing is sent. */
  readonly canStart: () => boolean;
}

export type CallResult =
  | { readonly outcome: CallOutcome.Answered; readonly answer: ServiceAnswer }
  | { readonly outcome: CallOutcome.TooLarge; readonly status: number; readonly bytes: number }
  | { readonly outcome: CallOutcome.NotStarted; readonly cause: unknown }
  | { readonly outcome: CallOutcome.Unknown; readonly cause: unknown };

export type LookupResult =
  | { readonly outcome: LookupOutcome.Done; readonly answer: ServiceAnswer }
  | { readonly outcome: LookupOutcome.Absent }
  | { readonly outcome: LookupOutcome.Unavailable };

/** Calls services; neither method rejects. */
export interface ServiceClient {
  readonly callService: (call: ServiceCall) => Promise<CallResult>;
  readonly lookupStatus: (
    service: ServiceConfiguration,
    scopedKey: string,
  ) => Promise<LookupResult>;
}

/** A body as stored in a record: as text if it is UTF-8 with few characters that JSON escapes, otherwise as base64. */
export interface EncodedBody {
  readonly encoding: 'utf8' | 'base64';
  readonly data: string;
}

/** The request in a record, for a daemon that takes the order over. */
export interface RecordedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: RelayedHeaders;
  /** Absent if the body is too large to store; the order can then be taken over only by a repeated request. */
  readonly body?: EncodedBody | undefined;
}

/** The answer in a record. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: RelayedHeaders;
  /** Length of the body in bytes, also if it is not stored. */
  readonly bytes: number;
  /** Absent if the answer is too large to store or was never received. */
  readonly body?: EncodedBody | undefined;
}

/** One entry of a record's audit trail. */
export interface AuditEntry {
  readonly atMs: number;
  /** `vm:NAME` for a daemon, `operator:NAME` for an operator. */
  readonly by: string;
  readonly event: OrderEvent;
  readonly to: OrderState;
  readonly reason: string;
}

/** The record of an order, as stored in the platform. */
export interface OrderRecord {
  readonly state: OrderState;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly key: string;
  /** Digest of method, path, content type, content encoding and body. */
  readonly fingerprint: string;
  readonly requestId: RequestId;
  readonly traceparent: string;
  /** The daemon that wrote the latest accepted or dispatching state. */
  readonly owner: VmId;
  /** The latest attempt; each dispatch has a new id. */
  readonly attemptId: AttemptId;
  readonly acceptedAtMs: number;
  /** When the latest attempt was recorded, by its daemon's clock. */
  readonly dispatchedAtMs?: number | undefined;
  readonly settledAtMs?: number | undefined;
  /** How long the answer is replayed after the order was settled. */
  readonly retentionMs: number;
  readonly request?: RecordedRequest | undefined;
  readonly answer?: RecordedAnswer | undefined;
  readonly audit: readonly AuditEntry[];
}

/** A record with its name and version in the platform. */
export interface StoredOrder {
  readonly name: string;
  readonly version: number;
  readonly record: OrderRecord;
}

export type SaveResult =
  | { readonly outcome: SaveOutcome.Saved; readonly stored: StoredOrder }
  | { readonly outcome: SaveOutcome.Conflict; readonly current: StoredOrder | undefined }
  | { readonly outcome: SaveOutcome.NotSaved; readonly cause: unknown }
  | { readonly outcome: SaveOutcome.Uncertain; readonly cause: unknown };

/** An order submitted by a caller. */
export interface OrderSubmission {
  readonly workspace: WorkspaceName;
  readonly service: ServiceConfiguration;
  readonly key: string;
  readonly request: ServiceRequest;
  readonly requestId: RequestId;
  readonly traceparent: string;
  readonly deadlineAtMs: number;
  /** Orders of the service that this daemon may run concurrently. */
  readonly concurrency: number;
}

/** Result of a submission: the service's answer, or an error that states whether the order ran. */
export type OrderResult =
  | { readonly answer: ServiceAnswer; readonly isReplay: boolean }
  | { readonly error: SardinegradeError };

/** Time limits that the protocol's safety and speed depend on. */
export interface OrderTimings {
  /** How long after the first write of the dispatch the service may still be called. */
  readonly callWindowMs: number;
  /** Maximum time for the service to answer. */
  readonly callTimeoutMs: number;
  /**
   * Extra time, after the call window and the call timeout, during which a call may still reach the service.
   * An order is not settled as not run before it has passed.
   */
  readonly flightMarginMs: number;
  /** Allowed clock difference between VMs, where a time recorded by another VM is used. */
  readonly clockMarginMs: number;
  /** How long an accepted record may remain unchanged before another daemon takes it over. */
  readonly takeOverAfterMs: number;
  /** How long the write of a record that accepts or dispatches an order is retried. */
  readonly acceptTimeoutMs: number;
  /** Maximum time that the answer to a caller is delayed while its outcome is being recorded. */
  readonly recordWaitMs: number;
}

/** Dependencies and settings of the order service. */
export interface OrderServiceOptions {
  readonly platform: PlatformClient;
  readonly serviceClient: ServiceClient;
  readonly clock: Clock;
  /** Monotonic clock, in milliseconds. */
  readonly getMonotonicMs: () => number;
  readonly sleep: (durationMs: number) => Promise<void>;
  readonly vm: VmId;
  readonly newId: () => string;
  readonly writeBudget: WriteBudget;
  readonly timings: OrderTimings;
  readonly findService: (name: ServiceName) => ServiceConfiguration | undefined;
  /**
   * Whether the membership last reported the daemon as dead; false if it has reported nothing about it. The
   * daemon may come back.
   */
  readonly isVmGone: (vm: VmId) => boolean;
  /** Reports a problem that is not visible to any caller, such as a late answer that contradicts a settlement. */
  readonly onIncident: (message: string, name: string) => void;
}
