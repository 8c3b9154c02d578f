import type { OrderVerdict } from '../../model/orders/index.js';

/** One target of the benchmark. */
export interface OrdersTarget {
  readonly name: string;
  readonly bound: number;
  readonly figure: number;
  readonly met: boolean;
}

/** Latency of orders, from arrival to answer. */
export interface LatencyFigures {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** How orders are recorded. */
export enum RecordLayout {
  /** One object per order, recorded as dispatching at once where a place is free. */
  Objects = 'objects',
  /** One object per order, recorded as accepted first. */
  ObjectsAcceptedFirst = 'objects_accepted_first',
  /** Shared objects with group commit, each order sent to the daemon that owns its shard. */
  ShardsRouted = 'shards_routed',
  /** Shared objects with group commit, written by whichever daemon has the order. */
  ShardsUnrouted = 'shards_unrouted',
}

/** What one layout came to at one rate of orders. */
export interface LayoutFigures extends LatencyFigures {
  readonly layout: RecordLayout;
  readonly ordersPerSecond: number;
  readonly writesPerOrder: number;
  readonly readsPerOrder: number;
  readonly writesPerSecond: number;
  /** Part of the orders that got their answer. */
  readonly answeredShare: number;
  /** Part of the writes that the rate limit refused. */
  readonly limitedShare: number;
}

/** The figures of `npm run bench -- orders`. */
export interface OrdersBenchReport {
  readonly ok: boolean;
  readonly targets: readonly OrdersTarget[];
  readonly seed: number;
  readonly product: OrderVerdict;
  readonly naive: OrderVerdict;
  /** Part of the orders sent during a 60 s outage that were answered by its end. */
  readonly outageAvailability: OutageFigures;
  readonly layouts: readonly LayoutFigures[];
}

/** Availability while the platform is down, by kind of service. */
export interface OutageFigures {
  /** The service de-duplicates: orders go on without records. */
  readonly deduplicating: number;
  readonly recorded: number;
  readonly recordedRefusedAsNotRun: number;
  readonly naive: number;
}
