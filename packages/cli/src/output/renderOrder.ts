import { formatTime } from './format.js';
import { renderTable } from './renderTable.js';

import type { OrderView } from '@sardinegrade/common';

const MS_PER_SECOND = 1_000;

/**
 * Renders a list of orders.
 *
 * @param orders - the orders
 * @returns a table
 */
export const renderOrders = (orders: readonly OrderView[]): string =>
  renderTable(
    ['WORKSPACE', 'SERVICE', 'KEY', 'STATE', 'OWNER', 'ACCEPTED'],
    orders.map((order) => [
      order.workspace,
      order.service,
      order.key,
      order.state,
      order.owner,
      formatTime(order.accepted_at_ms),
    ]),
  );

const renderSettlement = (order: OrderView): readonly string[] => {
  if (order.settlement_token !== undefined) {
    return [
      `May be settled as not run with --token ${order.settlement_token}, after a look into the service now.`,
    ];
  }
  if (order.not_run_wait_ms === undefined) return [];
  const seconds = Math.ceil(order.not_run_wait_ms / MS_PER_SECOND);
  return [`May be settled as not run in ${seconds} s at the earliest; show it again then.`];
};

/**
 * Renders one order.
 *
 * @param order - the order
 * @returns state, settlement instructions and a table of the audit trail
 */
export const renderOrder = (order: OrderView): string => {
  const answer =
    order.answer_status === undefined
      ? 'none on record'
      : `status ${order.answer_status}, ${order.answer_bytes ?? 0} bytes`;
  const head = [
    `Order ${order.key} of ${order.workspace} for ${order.service}: ${order.state}`,
    `Request ${order.request_id}, owner ${order.owner}, answer ${answer}`,
    `Accepted ${formatTime(order.accepted_at_ms)}, settled ${formatTime(order.settled_at_ms) || 'not yet'}`,
  ];
  head.push(...renderSettlement(order));
  if (order.audit.length === 0) return head.join('\n');
  const rows = order.audit.map(({ at_ms: atMs, by, event, to, reason }) => [
    formatTime(atMs),
    by,
    event,
    to,
    reason,
  ]);
  const table = renderTable(['AT', 'BY', 'EVENT', 'TO', 'REASON'], rows);
  return [...head, '', table].join('\n');
};
