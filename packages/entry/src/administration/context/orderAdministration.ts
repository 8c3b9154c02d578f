import { ResultCode } from '@sardinegrade/common';
import { OrderState, SettlementVerdict } from '@sardinegrade/orders';

import { ApiError } from '../errors.js';

import type { ServiceName, WorkspaceName } from '@sardinegrade/common';
import type {
  OrderFilter,
  OrderOperations,
  OrderReference as BrandedOrderReference,
  OrderView,
  StoredOrder,
} from '@sardinegrade/orders';
import type { OrderAdministration, OrderQuery, OrderReference } from '../types.js';

const ORDER_STATES: ReadonlyMap<string, OrderState> = new Map(
  Object.values(OrderState).map((state) => [state, state]),
);

/** Most store pages read for one list request, which bounds the platform calls when few orders match the filter. */
const MAX_PAGES_READ = 10;

const toBrandedReference = ({
  workspace,
  service,
  key,
}: OrderReference): BrandedOrderReference => ({
  workspace: workspace as WorkspaceName,
  service: service as ServiceName,
  key,
});

const toFilter = ({ workspace, service, state }: OrderQuery): OrderFilter => {
  const orderState = state === undefined ? undefined : ORDER_STATES.get(state);
  if (state !== undefined && orderState === undefined) {
    const accepted = [...ORDER_STATES.keys()].join(', ');
    throw new ApiError(ResultCode.InvalidField, `No state '${state}'; it is one of ${accepted}.`);
  }
  return {
    ...(orderState === undefined ? {} : { states: [orderState] }),
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
  for (let pages = 0; pages < MAX_PAGES_READ && orders.length < query.limit; pages += 1) {
    const page = await operations.listOrders(after === undefined ? filter : { ...filter, after });
    orders.push(...page.orders);
    after = page.next;
    if (after === undefined) break;
  }
  if (orders.length <= query.limit) return { orders, next: after };
  const kept = orders.slice(0, query.limit);
  return { orders: kept, next: kept.at(-1)?.name };
};

/** Resolves to undefined if the order does not exist; other errors are rethrown. */
const handleNotFound = async (pendingView: Promise<OrderView>): Promise<OrderView | undefined> => {
  try {
    return await pendingView;
  } catch (error) {
    const isNotFound = error instanceof Error && 'code' in error;
    if (isNotFound && error.code === ResultCode.OrderNotFound) return undefined;
    throw error;
  }
};

/**
 * Adapts the order service to the administration API.
 *
 * @param operations - functions of the order service for administrators
 * @returns the order operations of the administration API
 */
export const createOrderAdministration = (operations: OrderOperations): OrderAdministration => ({
  list: async (query) => {
    const { orders, next } = await collectOrders(operations, query);
    return { orders: orders.map(({ record }) => record), next };
  },
  show: async (reference) => {
    const view = await handleNotFound(operations.showOrder(toBrandedReference(reference)));
    if (view === undefined) return undefined;
    const { stored, notRunWaitMs, settlementToken } = view;
    return { ...stored.record, notRunWaitMs, settlementToken };
  },
  settle: async (reference, { wasRun, reason, operator, settlementToken }) => {
    const verdict = wasRun ? SettlementVerdict.Run : SettlementVerdict.NotRun;
    const brandedReference = toBrandedReference(reference);
    const token = settlementToken === undefined ? {} : { settlementToken };
    const stored = await operations.settleOrder({
      ...brandedReference,
      verdict,
      reason,
      operator,
      ...token,
    });
    return stored.record;
  },
});
