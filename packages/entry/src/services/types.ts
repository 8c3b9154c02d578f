import type {
  ClassConfiguration,
  Clock,
  RequestId,
  SardinegradeError,
  ServiceConfiguration,
  UpstreamConfiguration,
  WorkspaceName,
} from '@sardinegrade/common';
import type { OrderService, ServiceCaller } from '@sardinegrade/orders';
import type { RetryBudgets } from '../retries/index.js';

/** What is known of a call to a plain service once its caller was authenticated. */
export interface ServiceCallContext {
  readonly workspace: WorkspaceName;
  readonly service: ServiceConfiguration;
  readonly class: ClassConfiguration;
  /** Path and query below `/services/{service}`, beginning with a slash. */
  readonly path: string;
  readonly requestId: RequestId;
  readonly traceparent: string;
  /** By the clock's time. */
  readonly deadlineAtMs: number;
  readonly bodyLimitBytes: number;
  /** Aborted once the caller is gone. An order goes on nevertheless. */
  readonly signal: AbortSignal;
}

/** How a call to a plain service ended. */
export interface ServiceCallEnd {
  /** Undefined where the caller got the service's answer. */
  readonly error: SardinegradeError | undefined;
  /** The answer was stored for an earlier call under the same key. */
  readonly isReplay: boolean;
}

/** Finds the upstreams of a service that may be given work, best first. */
export type FindUpstreams = (service: ServiceConfiguration) => readonly UpstreamConfiguration[];

/** What calls that may be repeated work with. */
export interface RepeatableOptions {
  readonly caller: ServiceCaller;
  readonly clock: Clock;
  readonly sleep: (durationMs: number) => Promise<void>;
  /** Between 0 and 1. */
  readonly getRandom: () => number;
  readonly newId: () => string;
  readonly budgets: RetryBudgets;
  /** Told how each call ended. */
  readonly onEnd?: (context: ServiceCallContext, end: ServiceCallEnd) => void;
}

/** What the handler of service calls works with. */
export interface ServiceHandlerOptions extends RepeatableOptions {
  readonly orders: Pick<OrderService, 'submitOrder'>;
  readonly findUpstreams: FindUpstreams;
}
