import {
  AdministratorRole,
  orderSchema,
  ordersSchema,
  ResultCode,
  settlementSchema,
} from '@sardinegrade/common';

import { ApiError } from '../errors.js';
import { readJson, readLimit, readPathPart } from '../http/input.js';
import { describeOrder } from '../views/index.js';
import { LIMIT_PARAMETER } from './parameters.js';

import type { OrdersView } from '@sardinegrade/common';
import type { Route, RouteInput, RouteReply } from '../http/types.js';
import type { AdministrationContext, OrderReference } from '../types.js';

const readReference = (request: RouteInput): OrderReference => ({
  workspace: readPathPart(request, 'workspace'),
  service: readPathPart(request, 'service'),
  key: readPathPart(request, 'key'),
});

const handleList = async (
  context: AdministrationContext,
  request: RouteInput,
): Promise<RouteReply> => {
  const readFilter = (name: string): string | undefined => request.query.get(name) ?? undefined;
  const page = await context.orders.list({
    workspace: readFilter('workspace'),
    service: readFilter('service'),
    state: readFilter('state'),
    after: readFilter('after'),
    limit: readLimit(request),
  });
  const body: OrdersView = { orders: page.orders.map(describeOrder), next: page.next };
  return { body };
};

const handleShow = async (
  context: AdministrationContext,
  request: RouteInput,
): Promise<RouteReply> => {
  const order = await context.orders.show(readReference(request));
  if (order === undefined)
    throw new ApiError(ResultCode.OrderNotFound, 'No such order is on record.');
  return { body: describeOrder(order) };
};

const handleSettle = async (
  context: AdministrationContext,
  request: RouteInput,
): Promise<RouteReply> => {
  const {
    verdict,
    reason,
    settlement_token: settlementToken,
  } = readJson(request, settlementSchema);
  const operator = request.administrator?.name ?? '';
  const reference = readReference(request);
  const wasRun = verdict === 'run';
  const order = await context.orders.settle(reference, {
    wasRun,
    reason,
    operator,
    settlementToken,
  });
  context.logger.info('order settled', {
    operator,
    workspace: reference.workspace,
    service: reference.service,
    requestId: order.requestId,
  });
  return { body: describeOrder(order) };
};

const ORDER_PATH = '/v1/orders/{workspace}/{service}/{key}';

const ORDER_CODES = [ResultCode.OrderNotFound, ResultCode.PlatformUnavailable];

const FILTERS = [
  ['workspace', 'Only orders of this workspace.'],
  ['service', 'Only orders for this service.'],
  ['state', 'Only orders in this state: accepted, dispatching, done, unknown or not_run.'],
  ['after', "The last page's `next`."],
] as const;

/** Routes that show orders, which must not be executed twice, and settle those with an unknown outcome. */
export const ORDER_ROUTES: readonly Route[] = [
  {
    method: 'GET',
    path: '/v1/orders',
    summary: 'Orders on record, without their bodies.',
    role: AdministratorRole.Read,
    query: [
      LIMIT_PARAMETER,
      ...FILTERS.map(([name, description]) => ({ name, description, schema: { type: 'string' } })),
    ],
    replySchema: ordersSchema,
    codes: [ResultCode.PlatformUnavailable],
    handle: handleList,
  },
  {
    method: 'GET',
    path: ORDER_PATH,
    summary: 'One order with its audit trail.',
    role: AdministratorRole.Read,
    replySchema: orderSchema,
    codes: ORDER_CODES,
    handle: handleShow,
  },
  {
    method: 'POST',
    path: `${ORDER_PATH}/settlement`,
    summary: 'Records what became of an order that nobody knows the fate of.',
    role: AdministratorRole.Settle,
    bodyType: 'application/json',
    bodySchema: settlementSchema,
    replySchema: orderSchema,
    codes: [...ORDER_CODES, ResultCode.OrderNotSettleable],
    handle: handleSettle,
  },
];
