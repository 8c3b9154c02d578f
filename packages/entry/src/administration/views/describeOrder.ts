import type { OrderView } from '@sardinegrade/common';
import type { AdministeredOrder } from '../types.js';

/**
 * Describes an order without its request and answer bodies.
 *
 * @param order - the order
 * @returns the order with the field names of the API
 */
export const describeOrder = (order: AdministeredOrder): OrderView => ({
  workspace: order.workspace,
  service: order.service,
  key: order.key,
  state: order.state,
  request_id: order.requestId,
  owner: order.owner,
  accepted_at_ms: order.acceptedAtMs,
  dispatched_at_ms: order.dispatchedAtMs,
  settled_at_ms: order.settledAtMs,
  answer_status: order.answer?.status,
  answer_bytes: order.answer?.bytes,
  not_run_wait_ms: order.notRunWaitMs,
  settlement_token: order.settlementToken,
  audit: order.audit.map(({ atMs, by, event, to, reason }) => ({
    at_ms: atMs,
    by,
    event,
    to,
    reason,
  })),
});
