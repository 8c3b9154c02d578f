import type { OrderResult, OrderSubmission } from '@sardinegrade/orders';

/** Chances of each fault, between 0 and 1. */
export interface FaultChances {
  /** The platform refuses a call. */
  readonly refused: number;
  /** A write takes effect and its answer is lost. */
  readonly lostAnswer: number;
  /** A write is lost, and its writer cannot tell. */
  readonly lostWrite: number;
  /** A write takes effect long after its writer stopped waiting. */
  readonly delayedWrite: number;
  /** A write reaches the platform a second time. */
  readonly duplicatedWrite: number;
  /** A call takes seconds. */
  readonly slow: number;
  /** A daemon is paused right before it goes on with a step. */
  readonly pause: number;
  /** A daemon is paused for long between the record of a dispatch and the call. */
  readonly pauseBeforeCall: number;
  /** A daemon dies right before it goes on with a step. */
  readonly crash: number;
  /** No connection to the service. */
  readonly notConnected: number;
  /** The service's answer is lost after it carried the order out. */
  readonly lostServiceAnswer: number;
  /** The service's call is lost before it was carried out. */
  readonly lostCall: number;
  /** A call is long on its way. */
  readonly slowCall: number;
}

/** One request of a caller. */
export interface PlannedSubmission {
  readonly atMs: number;
  readonly key: number;
  /** Index of the daemon that the balancer picks. */
  readonly daemon: number;
  /** Sent through all daemons at once. */
  readonly isBroadcast: boolean;
}

/** When the platform is down. */
export interface PlannedOutage {
  readonly atMs: number;
  readonly durationMs: number;
}

/** A schedule of callers, daemons and faults; the same schedule always runs the same way. */
export interface OrderSchedule {
  readonly seed: number;
  readonly daemons: number;
  /** Orders that a daemon runs side by side. */
  readonly concurrency: number;
  readonly hasLookup: boolean;
  readonly chances: FaultChances;
  readonly submissions: readonly PlannedSubmission[];
  readonly outages: readonly PlannedOutage[];
  /** When an operator goes over the orders that are not settled. */
  readonly operatorAtMs: readonly number[];
}

/** What carries out submissions in a model: the order service, or the naive version. */
export interface ModelOrders {
  readonly submitOrder: (submission: OrderSubmission) => Promise<OrderResult>;
}

/** What an oracle counted in one schedule. */
export interface OrderVerdict {
  readonly runTwice: number;
  readonly lost: number;
  readonly falseNotRun: number;
  /** Answers to one key that differ. */
  readonly differingAnswers: number;
  /** Records that no one settled although everything had worked again for long. */
  readonly unsettled: number;
  readonly executions: number;
  readonly submissions: number;
  readonly crashes: number;
  readonly pauses: number;
}
