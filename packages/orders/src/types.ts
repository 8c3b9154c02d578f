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

/** The headers that pass between caller and service, by their names in lower case. */
export type RelayedHeaders = Readonly<Record<string, string>>;

/** A caller's request to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  /** Path and query below the service. */
  readonly path: string;
  readonly headers: RelayedHeaders;
  readonly body: Buffer;
}

/** A service's whole answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly headers: RelayedHeaders;
  readonly body: Buffer;
}

/** One attempt to have a service carry out an order. */
export interface ServiceCall {
  readonly service: ServiceConfiguration;
  readonly request: ServiceRequest;
  /** The key that the service sees: the caller's key with its workspace before it. */
  readonly scopedKey: string;
  readonly attemptId: AttemptId;
  readonly requestId: RequestId;
  readonly traceparent: string;
  readonly timeoutMs: number;
  /** Asked on an open connection right before the first byte; nothing is sent once it says no. */
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

/** The way to the services; neither method rejects. */
export interface ServiceCaller {
  readonly callService: (call: ServiceCall) => Promise<CallResult>;
  readonly lookupStatus: (
    service: ServiceConfiguration,
    scopedKey: string,
  ) => Promise<LookupResult>;
}

/** Bytes in a record, as text where they are UTF-8. */
export interface EncodedBody {
  readonly encoding: 'utf8' | 'base64';
  readonly data: string;
}

/** The request in a record, for whoever takes the order over. */
export interface RecordedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: RelayedHeaders;
  /** Absent where the body is too large to keep; only a resend can then take the order over. */
  readonly body?: EncodedBody | undefined;
}

/** The answer in a record. */
export interface RecordedAnswer {
  readonly status: number;
  readonly headers: RelayedHeaders;
  readonly bytes: number;
  /** Absent where the answer is too large to keep or was never seen. */
  readonly body?: EncodedBody | undefined;
}

/** One line of a record's audit trail. */
export interface AuditEntry {
  readonly atMs: number;
  /** A daemon's `vm:NAME` or an operator's `operator:NAME`. */
  readonly by: string;
  readonly event: OrderEvent;
  readonly to: OrderState;
  readonly reason: string;
}

/** The record of an order, as the platform holds it. */
export interface OrderRecord {
  readonly state: OrderState;
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly key: string;
  /** Digest of method, path, content type and body. */
  readonly fingerprint: string;
  readonly requestId: RequestId;
  readonly traceparent: string;
  /** The daemon that wrote the latest accepted or dispatching state. */
  readonly owner: VmId;
  /** The latest attempt; every dispatch has its own. */
  readonly attemptId: AttemptId;
  readonly acceptedAtMs: number;
  /** When the latest attempt was recorded, by its daemon's clock. */
  readonly dispatchedAtMs?: number | undefined;
  readonly settledAtMs?: number | undefined;
  /** How long the answer is replayed after it was settled. */
  readonly retentionMs: number;
  readonly request?: RecordedRequest | undefined;
  readonly answer?: RecordedAnswer | undefined;
  readonly audit: readonly AuditEntry[];
}

/** A record with the version and name under which it stands. */
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

/** An order as a caller sends it. */
export interface OrderSubmission {
  readonly workspace: WorkspaceName;
  readonly service: ServiceConfiguration;
  readonly key: string;
  readonly request: ServiceRequest;
  readonly requestId: RequestId;
  readonly traceparent: string;
  readonly deadlineAtMs: number;
  /** Orders of the service that this daemon runs side by side. */
  readonly concurrency: number;
}

/** What a submission comes to: the service's answer or a truthful refusal. */
export type OrderResult =
  | { readonly answer: ServiceAnswer; readonly isReplay: boolean }
  | { readonly error: SardinegradeError };

/** Intervals that decide the protocol's safety and pace. */
export interface OrderTimings {
  /** How long after the dispatch was first sent to the platform the service may still be called. */
  readonly callWindowMs: number;
  /** How long the service may take to answer. */
  readonly callTimeoutMs: number;
  /** Allowance for a call that is on the network while its daemon is already counted out. */
  readonly flightMarginMs: number;
  /** Allowance for clocks of VMs that differ, where a recorded time has to be trusted. */
  readonly clockMarginMs: number;
  /** How long an accepted record may stand unchanged before another daemon takes it over. */
  readonly takeOverAfterMs: number;
  /** How long the first write of an order is retried. */
  readonly acceptTimeoutMs: number;
  /** How long a caller's answer waits for the record of it. */
  readonly recordWaitMs: number;
}

/** What the order service works with. */
export interface OrderServiceOptions {
  readonly platform: PlatformClient;
  readonly caller: ServiceCaller;
  readonly clock: Clock;
  /** Milliseconds of a clock that never goes back. */
  readonly getMonotonicMs: () => number;
  readonly sleep: (durationMs: number) => Promise<void>;
  readonly vm: VmId;
  readonly newId: () => string;
  readonly writeBudget: WriteBudget;
  readonly timings: OrderTimings;
  readonly findService: (name: ServiceName) => ServiceConfiguration | undefined;
  /** Whether the membership knows that a daemon is gone for good; false where in doubt. */
  readonly isVmGone: (vm: VmId) => boolean;
  /** Told of what no caller sees, such as a settlement contradicted by a late answer. */
  readonly onIncident: (message: string, name: string) => void;
}
