import type { OrderVerdict } from '../../model/orders/index.js';

/** An upper bound on a measured figure, and whether the run met it. */
export interface OrdersTarget {
  readonly name: string;
  readonly bound: number;
  readonly figure: number;
  readonly met: boolean;
}

/** Latency percentiles of orders, from arrival to answer. */
export interface LatencyFigures {
  readonly p50Ms: number;
  readonly p95Ms: number;
  readonly p99Ms: number;
}

/** How order records are stored on the platform. */
export enum RecordLayout {
  /** One object per order, recorded directly as dispatching if a slot is free. */
  Objects = 'objects',
  /** One object per order, always recorded as accepted first. */
  ObjectsAcceptedFirst = 'objects_accepted_first',
  /** Shared objects with group commit, each order sent to the daemon that owns its shard. */
  ShardsRouted = 'shards_routed',
  /** Shared objects with group commit, written by the daemon that received the order. */
  ShardsUnrouted = 'shards_unrouted',
}

/** The results of one layout at one order rate. */
export interface LayoutFigures extends LatencyFigures {
  readonly layout: RecordLayout;
  readonly ordersPerSecond: number;
  readonly writesPerOrder: number;
  readonly readsPerOrder: number;
  readonly writesPerSecond: number;
  /** Share of the orders that were answered, 0 to 1. */
  readonly answeredShare: number;
  /** Share of the writes that the rate limit refused, 0 to 1. */
  readonly limitedShare: number;
}

/** The results of the virtual-time part of `npm run bench -- orders`. */
export interface OrdersBenchReport {
  readonly ok: boolean;
  readonly targets: readonly OrdersTarget[];
  readonly seed: number;
  readonly product: OrderVerdict;
  readonly naive: OrderVerdict;
  /** Share of the orders sent during a 60 s outage that were answered by its end. */
  readonly outageAvailability: OutageFigures;
  readonly layouts: readonly LayoutFigures[];
}

/** Share of orders by result while the platform is down, by kind of service, 0 to 1. */
export interface OutageFigures {
  /** Answered orders of a service that de-duplicates; they need no records. */
  readonly deduplicating: number;
  /** Answered orders of a service that doesn't de-duplicate; they must be recorded. */
  readonly recorded: number;
  /** Orders that must be recorded and were refused as not run. */
  readonly recordedRefusedAsNotRun: number;
  /** Answered orders of the naive version, which keeps no records. */
  readonly naive: number;
}
