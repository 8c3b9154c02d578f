import type {
  ClassConfiguration,
  Clock,
  RequestId,
  ServiceConfiguration,
  UpstreamConfiguration,
  WorkspaceName,
} from '@sardinegrade/common';
import type { OrderService, ServiceCaller } from '@sardinegrade/orders';

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
}

/** What the handler of service calls works with. */
export interface ServiceHandlerOptions extends RepeatableOptions {
  readonly orders: Pick<OrderService, 'submitOrder'>;
  readonly findUpstreams: FindUpstreams;
}
