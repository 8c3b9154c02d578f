import { encodeRequest } from './bodyCodec.js';
import {
  AUDIT_LIMIT,
  REASON_LENGTH_LIMIT,
  REMOVAL_RESERVE,
  RETENTION_PERIODS,
} from './constants.js';
import { OrderState } from './enums.js';
import { hashRequest } from './orderName.js';
import { findNextState } from './orderStates.js';

import type { AttemptId, VmId } from '@sardinegrade/common';
import type { OrderEvent } from './enums.js';
import type { AuditEntry, OrderRecord, OrderSubmission } from './types.js';

/** Who changes a record, when and why. */
export interface ChangeNote {
  readonly event: OrderEvent;
  readonly atMs: number;
  readonly by: string;
  readonly reason: string;
}

/** What the daemon adds to a submission to make a record of it. */
export interface RecordStart {
  readonly state: OrderState.Accepted | OrderState.Dispatching;
  readonly owner: VmId;
  readonly attemptId: AttemptId;
  readonly nowMs: number;
}

const SETTLED: ReadonlySet<OrderState> = new Set([OrderState.Done, OrderState.NotRun]);

const appendAudit = (record: OrderRecord, entry: AuditEntry): readonly AuditEntry[] =>
  [...record.audit, entry].slice(-AUDIT_LIMIT);

/**
 * Makes the first record of an order.
 *
 * @param submission - the order as its caller sent it
 * @param start - state, owner and attempt to begin with
 * @returns the record; it keeps the request only where another daemon may take it over
 */
export const createRecord = (submission: OrderSubmission, start: RecordStart): OrderRecord => {
  const { workspace, service, key, request, requestId, traceparent } = submission;
  const { state, owner, attemptId, nowMs } = start;
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
 * Moves a record along the state chart.
 *
 * @param record - the record as it stands
 * @param note - the event, with who, when and why for the audit trail
 * @param patch - fields that the event changes
 * @returns the new record, or undefined where the chart does not allow the event
 */
export const applyEvent = (
  record: OrderRecord,
  note: ChangeNote,
  patch: Partial<OrderRecord> = {},
): OrderRecord | undefined => {
  const to = findNextState(record.state, note.event);
  if (to === undefined) return undefined;
  const { event, atMs, by, reason } = note;
  return {
    ...record,
    ...patch,
    state: to,
    request: to === OrderState.Accepted ? (patch.request ?? record.request) : undefined,
    settledAtMs: SETTLED.has(to) ? atMs : undefined,
    audit: appendAudit(record, {
      atMs,
      by,
      event,
      to,
      reason: reason.slice(0, REASON_LENGTH_LIMIT),
    }),
  };
};

/**
 * Tells whether a settled order's answer is past its retention.
 *
 * @param record - the record
 * @param nowMs - the present time
 * @returns true once the answer is no longer replayed
 */
export const isAnswerExpired = (record: OrderRecord, nowMs: number): boolean =>
  record.settledAtMs !== undefined && nowMs > record.settledAtMs + record.retentionMs;

/**
 * Tells whether a record may be removed and its key forgotten.
 *
 * @param record - the record
 * @param nowMs - the present time
 * @returns true once all retention periods of a settled order have passed
 */
export const isRemovable = (record: OrderRecord, nowMs: number): boolean =>
  record.settledAtMs !== undefined &&
  nowMs > record.settledAtMs + RETENTION_PERIODS * record.retentionMs;

/**
 * Tells whether the write budget has room for removals.
 *
 * @param freeShare - the free part of the budget
 * @returns false where orders need the writes
 */
export const canRemove = (freeShare: number): boolean => freeShare >= REMOVAL_RESERVE;
