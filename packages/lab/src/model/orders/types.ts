import type { OrderResult, OrderSubmission } from '@sardinegrade/orders';

/** Probability of each fault, between 0 and 1. */
export interface FaultChances {
  /** The platform refuses a call. */
  readonly refused: number;
  /** A write takes effect, but its reply is lost. */
  readonly lostAnswer: number;
  /** A write is lost, and its call times out as it does with a lost reply. */
  readonly lostWrite: number;
  /** A write takes effect up to 90 s later, after its call has timed out. */
  readonly delayedWrite: number;
  /** A write reaches the platform a second time, between 5 s and 90 s later. */
  readonly duplicatedWrite: number;
  /** A call to the platform takes between 0.5 s and 4 s instead of milliseconds. */
  readonly slow: number;
  /** A daemon is paused right before one of its events. */
  readonly pause: number;
  /** A daemon is paused for up to three minutes between the write of the dispatch record and the call. */
  readonly pauseBeforeCall: number;
  /** A daemon crashes right before one of its events. */
  readonly crash: number;
  /** A connection to the service cannot be opened. */
  readonly notConnected: number;
  /** The answer of the service is lost after the order has been executed. */
  readonly lostServiceAnswer: number;
  /** A call to the service is lost before the order is executed. */
  readonly lostCall: number;
  /** A call takes up to 29 s to reach the service, or its execution up to 20 s. */
  readonly slowCall: number;
}

/** A request of a caller. */
export interface PlannedSubmission {
  readonly atMs: number;
  readonly key: number;
  /** Index of the daemon that the load balancer picks. */
  readonly daemon: number;
  /** Whether the request is sent to all daemons at once. */
  readonly isBroadcast: boolean;
}

/** A period in which the platform is down. */
export interface PlannedOutage {
  readonly atMs: number;
  readonly durationMs: number;
}

/** Requests, daemons and faults of one simulation; runs of the same schedule are identical. */
export interface OrderSchedule {
  readonly seed: number;
  readonly daemons: number;
  /** Orders that a daemon runs at once. */
  readonly concurrency: number;
  readonly hasLookup: boolean;
  readonly chances: FaultChances;
  readonly submissions: readonly PlannedSubmission[];
  readonly outages: readonly PlannedOutage[];
  /** When an operator settles the open orders, in milliseconds after the start. */
  readonly operatorAtMs: readonly number[];
}

/** Accepts the submissions of a model: the order service or the naive implementation. */
export interface ModelOrders {
  readonly submitOrder: (submission: OrderSubmission) => Promise<OrderResult>;
}

/** Violations and totals that the oracle counted in one schedule. */
export interface OrderVerdict {
  readonly runTwice: number;
  readonly lost: number;
  readonly falseNotRun: number;
  /** Answers that differ from the first execution of their key. */
  readonly differingAnswers: number;
  /** Records that were still open after the faults had ended and an operator had settled all open orders. */
  readonly unsettled: number;
  readonly executions: number;
  readonly submissions: number;
  readonly crashes: number;
  readonly pauses: number;
}
