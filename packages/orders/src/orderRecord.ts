import { encodeRequest } from './bodyCodec.js';
import {
  AUDIT_LIMIT,
  REASON_LENGTH_LIMIT,
  REMOVAL_MIN_FREE_SHARE,
  RETENTION_PERIODS,
} from './constants.js';
import { OrderState } from './enums.js';
import { hashRequest } from './orderName.js';
import { findNextState } from './orderStates.js';

import type { AttemptId, VmId } from '@sardinegrade/common';
import type { OrderEvent } from './enums.js';
import type { AuditEntry, OrderRecord, OrderSubmission } from './types.js';

/** An event with the data for its audit entry: when, by whom and why. */
export interface AuditedEvent {
  readonly event: OrderEvent;
  readonly atMs: number;
  readonly by: string;
  readonly reason: string;
}

/** Fields of a new record that do not come from the submission. */
export interface InitialFields {
  readonly state: OrderState.Accepted | OrderState.Dispatching;
  readonly owner: VmId;
  readonly attemptId: AttemptId;
  readonly nowMs: number;
}

const SETTLED_STATES: ReadonlySet<OrderState> = new Set([OrderState.Done, OrderState.NotRun]);

const appendAudit = (record: OrderRecord, entry: AuditEntry): readonly AuditEntry[] =>
  [...record.audit, entry].slice(-AUDIT_LIMIT);

/**
 * Creates the first record of an order.
 *
 * @param submission - the caller's order
 * @param initial - initial state, owner and attempt
 * @returns the record; it contains the request only in the accepted state, where another daemon may take it over
 */
export const createRecord = (submission: OrderSubmission, initial: InitialFields): OrderRecord => {
  const { workspace, service, key, request, requestId, traceparent } = submission;
  const { state, owner, attemptId, nowMs } = initial;
  const isAccepted = state === OrderState.Accepted;
  return {
    state,
    workspace,
    service: service.name,
    key,
    fingerprint: hashRequest(request),
    requestId,
    traceparent,
    owner,
    attemptId,
    acceptedAtMs: nowMs,
    dispatchedAtMs: isAccepted ? undefined : nowMs,
    retentionMs: service.orderRetentionMs,
    request: isAccepted ? encodeRequest(request) : undefined,
    audit: [],
  };
};

/**
 * Applies an event to a record according to the state chart.
 *
 * @param record - the current record
 * @param auditedEvent - the event, and the data for its audit entry
 * @param patch - fields that the event changes
 * @returns the new record, or undefined if the chart does not allow the event in this state
 */
export const applyEvent = (
  record: OrderRecord,
  auditedEvent: AuditedEvent,
  patch: Partial<OrderRecord> = {},
): OrderRecord | undefined => {
  const nextState = findNextState(record.state, auditedEvent.event);
  if (nextState === undefined) return undefined;
  const { event, atMs, by, reason } = auditedEvent;
  return {
    ...record,
    ...patch,
    state: nextState,
    request: nextState === OrderState.Accepted ? (patch.request ?? record.request) : undefined,
    settledAtMs: SETTLED_STATES.has(nextState) ? atMs : undefined,
    audit: appendAudit(record, {
      atMs,
      by,
      event,
      to: nextState,
      reason: reason.slice(0, REASON_LENGTH_LIMIT),
    }),
  };
};

/**
 * Checks whether the answer of a settled order is past its retention period.
 *
 * @param record - the order's record
 * @param nowMs - current time, in milliseconds
 * @returns true once the answer is no longer replayed
 */
export const isAnswerExpired = (record: OrderRecord, nowMs: number): boolean =>
  record.settledAtMs !== undefined && nowMs > record.settledAtMs + record.retentionMs;

/**
 * Checks whether a record may be removed, after which its key counts as new.
 *
 * @param record - the order's record
 * @param nowMs - current time, in milliseconds
 * @returns true once RETENTION_PERIODS retention periods have passed since the order was settled
 */
export const isRemovable = (record: OrderRecord, nowMs: number): boolean =>
  record.settledAtMs !== undefined &&
  nowMs > record.settledAtMs + RETENTION_PERIODS * record.retentionMs;

/**
 * Checks whether the write budget has room for removals.
 *
 * @param freeShare - free share of the budget, between 0 and 1
 * @returns false if the remaining writes are reserved for orders
 */
export const canRemove = (freeShare: number): boolean => freeShare >= REMOVAL_MIN_FREE_SHARE;
