import { DutyOutcome } from '../enums.js';

/** An order and the workers that were ready when it was sent. */
interface SentOrder {
  readonly count: number;
  readonly readyBefore: number;
  readonly atMs: number;
  /** Whether all of them have been ready since, unless fewer were ordered: what is missing then has been lost again. */
  readonly isDelivered: boolean;
}

/** What is known about the orders of one kind of worker of a service in one data centre. */
export interface OrderState {
  /** The order without an outcome so far. */
  readonly pending: SentOrder | undefined;
  /** The last order that was accepted, or that may have been. */
  readonly inForce: SentOrder | undefined;
  /** Whether the order in force had no answer, so that it is unknown whether it was executed. */
  readonly isUnconfirmed: boolean;
  /** No further workers are ordered until then. */
  readonly blockedUntilMs: number;
}

/** State without any order. */
export const NO_ORDER: OrderState = {
  pending: undefined,
  inForce: undefined,
  isUnconfirmed: false,
  blockedUntilMs: Number.NEGATIVE_INFINITY,
};

/** Time after which ordered workers should be registered, besides their boot time, in milliseconds. */
export const SETTLE_MS = 3_000;

/** Interval at which an order without an answer is repeated, in milliseconds. It names a total, so a repeat does no harm. */
export const REPEAT_MS = 2_000;

/** Time after a call during which no more workers of its kind are ordered in its data centre, by outcome. */
const BLOCKED_MS: Readonly<Record<DutyOutcome, number>> = {
  [DutyOutcome.Accepted]: 0,
  // Reclaimed workers are missing for some 10 s, and other data centres have some meanwhile.
  [DutyOutcome.Unavailable]: 3_000,
  [DutyOutcome.Limited]: 1_000,
  // It would be refused again. A later order may have another number, or the reason may have gone.
  [DutyOutcome.Refused]: 30_000,
  [DutyOutcome.Unanswered]: 0,
  // A permit that is missing returns with the next renewal of the lease, or another VM becomes the holder.
  [DutyOutcome.NotPermitted]: 2_000,
};

const IN_FORCE: ReadonlySet<DutyOutcome> = new Set([DutyOutcome.Accepted, DutyOutcome.Unanswered]);

/**
 * Records that an order is sent.
 *
 * @param state - state before
 * @param count - the ordered number
 * @param readyBefore - number of workers that are ready
 * @param nowMs - current time, in milliseconds
 * @returns the new state
 */
export const recordOrder = (
  state: OrderState,
  count: number,
  readyBefore: number,
  nowMs: number,
): OrderState => ({ ...state, pending: { count, readyBefore, atMs: nowMs, isDelivered: false } });

/**
 * Records how many workers are ready.
 *
 * @param state - state before
 * @param ready - number of workers that take requests
 * @returns the new state, which tells whether the order in force has been delivered
 */
export const recordReady = (state: OrderState, ready: number): OrderState => {
  const { inForce } = state;
  if (inForce === undefined || inForce.isDelivered) return state;
  const isDelivered = inForce.count >= inForce.readyBefore && ready >= inForce.count;
  return isDelivered ? { ...state, inForce: { ...inForce, isDelivered } } : state;
};

/**
 * Records how the pending order ended.
 *
 * @param state - state before
 * @param outcome - how the call ended
 * @param nowMs - current time, in milliseconds
 * @returns the new state; after a refusal the order before is in force
 */
export const recordOutcome = (
  state: OrderState,
  outcome: DutyOutcome,
  nowMs: number,
): OrderState => {
  const blockedMs = BLOCKED_MS[outcome];
  const isInForce = IN_FORCE.has(outcome);
  return {
    pending: undefined,
    inForce: isInForce ? state.pending : state.inForce,
    isUnconfirmed: isInForce ? outcome === DutyOutcome.Unanswered : state.isUnconfirmed,
    blockedUntilMs: blockedMs === 0 ? state.blockedUntilMs : nowMs + blockedMs,
  };
};

/**
 * Computes how many workers serve or are about to: an order counts until its workers are ready or should have booted, then
 * the registered workers count. Workers that are lost meanwhile are deducted at once.
 *
 * Load pattern: workers crash or are reclaimed while others boot. If the order alone counted, they would be replaced only
 * once it has settled.
 *
 * @param state - orders so far
 * @param ready - number of workers that take requests
 * @param bootMs - time until an ordered worker serves, in milliseconds
 * @param nowMs - current time, in milliseconds
 * @returns the number of workers
 */
export const computeInForce = (
  { pending, inForce }: OrderState,
  ready: number,
  bootMs: number,
  nowMs: number,
): number => {
  const order = pending ?? inForce;
  if (order === undefined || order.isDelivered) return ready;
  if (nowMs - order.atMs > bootMs + SETTLE_MS) return ready;
  const isReduction = order.count < order.readyBefore;
  const lost = isReduction ? 0 : Math.max(0, order.readyBefore - ready);
  return Math.max(0, order.count - lost);
};

/** Time during which no more workers are ordered where accepted ones have not appeared, in milliseconds. */
const UNDELIVERED_MS = 10_000;

/**
 * Finds out whether workers of an accepted order are missing although they should have booted.
 *
 * Load pattern: a data centre accepts orders, but its workers do not start. Being the cheapest, it would be chosen again and
 * again while callers wait.
 *
 * @param state - orders so far
 * @param ready - number of workers that take requests
 * @param bootMs - time until an ordered worker serves, in milliseconds
 * @param nowMs - current time, in milliseconds
 * @returns whether what is missing is to be ordered elsewhere
 */
export const isUndelivered = (
  { inForce }: OrderState,
  ready: number,
  bootMs: number,
  nowMs: number,
): boolean => {
  if (inForce === undefined || inForce.isDelivered) return false;
  if (inForce.count <= inForce.readyBefore) return false;
  const overdueMs = nowMs - inForce.atMs - bootMs - SETTLE_MS;
  return ready < inForce.count && overdueMs > 0 && overdueMs <= UNDELIVERED_MS;
};

/** @returns whether the order without an answer is to be repeated */
export const isRepeatDue = (
  { pending, inForce, isUnconfirmed }: OrderState,
  nowMs: number,
): boolean =>
  pending === undefined &&
  isUnconfirmed &&
  inForce !== undefined &&
  nowMs - inForce.atMs >= REPEAT_MS;
