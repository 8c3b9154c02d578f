import { ResultCode } from '@sardinegrade/common';
import { OrderState, SettlementVerdict } from '@sardinegrade/orders';

import { ApiError } from '../errors.js';

import type { ServiceName, WorkspaceName } from '@sardinegrade/common';
import type {
  OrderFilter,
  OrderOperations,
  OrderReference as OrderName,
  OrderView,
  StoredOrder,
} from '@sardinegrade/orders';
import type { OrderAdministration, OrderQuery, OrderReference } from '../types.js';

const STATES: ReadonlyMap<string, OrderState> = new Map(
  Object.values(OrderState).map((state) => [state, state]),
);

/** Pages of the store that one answer reads at most, so that a rare state costs a bounded number of calls. */
const PAGE_LIMIT = 10;

const toName = ({ workspace, service, key }: OrderReference): OrderName => ({
  workspace: workspace as WorkspaceName,
  service: service as ServiceName,
  key,
});

const toFilter = ({ workspace, service, state }: OrderQuery): OrderFilter => {
  const known = state === undefined ? undefined : STATES.get(state);
  if (state !== undefined && known === undefined) {
    const accepted = [...STATES.keys()].join(', ');
    throw new ApiError(ResultCode.InvalidField, `No state '${state}'; it is one of ${accepted}.`);
  }
  return {
    ...(known === undefined ? {} : { states: [known] }),
    ...(workspace === undefined ? {} : { workspace: workspace as WorkspaceName }),
    ...(service === undefined ? {} : { service: service as ServiceName }),
  };
};

const collectOrders = async (
  operations: OrderOperations,
  query: OrderQuery,
): Promise<{ readonly orders: readonly StoredOrder[]; readonly next: string | undefined }> => {
  const filter = toFilter(query);
  const orders: StoredOrder[] = [];
  let after = query.after;
  for (let pages = 0; pages < PAGE_LIMIT && orders.length < query.limit; pages += 1) {
    const page = await operations.listOrders(after === undefined ? filter : { ...filter, after });
    orders.push(...page.orders);
    after = page.next;
    if (after === undefined) break;
  }
  if (orders.length <= query.limit) return { orders, next: after };
  const kept = orders.slice(0, query.limit);
  return { orders: kept, next: kept.at(-1)?.name };
};

const wrapNotFound = async (showing: Promise<OrderView>): Promise<OrderView | undefined> => {
  try {
    return await showing;
  } catch (error) {
    const isNotFound = error instanceof Error && 'code' in error;
    if (isNotFound && error.code === ResultCode.OrderNotFound) return undefined;
    throw error;
  }
};

/**
 * Adapts the order service to the administration API.
 *
 * @param operations - the order service's functions for operators
 * @returns the orders as the API handles them
 */
export const createOrderAdministration = (operations: OrderOperations): OrderAdministration => ({
  list: async (query) => {
    const { orders, next } = await collectOrders(operations, query);
    return { orders: orders.map(({ record }) => record), next };
  },
  show: async (reference) => {
    const view = await wrapNotFound(operations.showOrder(toName(reference)));
    if (view === undefined) return undefined;
    const { stored, notRunWaitMs, settlementToken } = view;
    return { ...stored.record, notRunWaitMs, settlementToken };
  },
  settle: async (reference, { wasRun, reason, operator, settlementToken }) => {
    const verdict = wasRun ? SettlementVerdict.Run : SettlementVerdict.NotRun;
    const name = toName(reference);
    const token = settlementToken === undefined ? {} : { settlementToken };
    const stored = await operations.settleOrder({ ...name, verdict, reason, operator, ...token });
    return stored.record;
  },
});
