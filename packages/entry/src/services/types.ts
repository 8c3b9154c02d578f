import type {
  ClassConfiguration,
  Clock,
  RequestId,
  SardinegradeError,
  ServiceConfiguration,
  UpstreamConfiguration,
  WorkspaceName,
} from '@sardinegrade/common';
import type { Ingress } from '@sardinegrade/ingress';
import type { OrderService, ServiceClient } from '@sardinegrade/orders';
import type { RetryBudgets } from '../retries/index.js';

/** An authenticated call to a plain service. */
export interface ServiceCallContext {
  readonly workspace: WorkspaceName;
  readonly service: ServiceConfiguration;
  readonly class: ClassConfiguration;
  /** Path and query below `/services/{service}`, beginning with a slash. */
  readonly path: string;
  readonly requestId: RequestId;
  readonly traceparent: string;
  /** Deadline, in the time of the daemon's `clock`. */
  readonly deadlineAtMs: number;
  readonly bodyLimitBytes: number;
  /** Limits of what callers make this daemon hold. */
  readonly ingress: Ingress;
  /** Aborted when the caller disconnects. Orders are executed nevertheless. */
  readonly signal: AbortSignal;
}

/** Result of a call to a plain service. */
export interface ServiceCallEnd {
  /** Undefined if the caller received the service's answer. */
  readonly error: SardinegradeError | undefined;
  /** The answer was stored for an earlier call with the same key. */
  readonly isReplay: boolean;
}

/** Finds the upstreams of a service that accept calls, in no particular order. */
export type FindUpstreams = (service: ServiceConfiguration) => readonly UpstreamConfiguration[];

/** Settings and dependencies of the runner of repeatable calls. */
export interface RepeatableOptions {
  /** Client that calls the services. */
  readonly serviceClient: ServiceClient;
  readonly clock: Clock;
  readonly sleep: (durationMs: number) => Promise<void>;
  /** Returns a uniform random number from 0 up to but not including 1. */
  readonly getRandom: () => number;
  readonly newId: () => string;
  readonly retryBudgets: RetryBudgets;
  /** Called with the result of each call. */
  readonly onEnd?: (context: ServiceCallContext, end: ServiceCallEnd) => void;
}

/** Settings and dependencies of the handler of service calls. */
export interface ServiceHandlerOptions extends RepeatableOptions {
  readonly orders: Pick<OrderService, 'submitOrder'>;
  readonly findUpstreams: FindUpstreams;
}
