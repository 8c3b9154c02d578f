import { OrderEvent, OrderState, SaveOutcome, SettlementVerdict } from './enums.js';
import { createNotFoundError, createNotSettleableError, createPlatformError } from './errors.js';
import { RunState } from '@sardinegrade/common';
import { deriveOrderName } from './orderName.js';
import { applyEvent } from './orderRecord.js';

import type { ServiceName, WorkspaceName } from '@sardinegrade/common';
import type { OrderSettler } from './orderSettler.js';
import type { RecordStore } from './recordStore.js';
import type { OrderRecord, OrderServiceOptions, RecordedAnswer, StoredOrder } from './types.js';

/** Identifies an order. */
export interface OrderReference {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly key: string;
}

/** Selects orders to list; an absent field matches every order. */
export interface OrderFilter {
  readonly states?: readonly OrderState[];
  readonly workspace?: WorkspaceName;
  readonly service?: ServiceName;
  /** Value of `next` from the previous page. */
  readonly after?: string;
}

/** One page of orders; it may be short or empty even if more pages follow. */
export interface OrderPage {
  readonly orders: readonly StoredOrder[];
  /** Where the next page starts; undefined on the last one. */
  readonly next: string | undefined;
}

/** An order as shown to an operator, with what is needed to settle it. */
export interface OrderView {
  readonly stored: StoredOrder;
  /** Time until the order may be settled as not run; undefined if it is neither unknown nor dispatching. */
  readonly notRunWaitMs: number | undefined;
  /**
   * Identifies this version of the record; present once the order may be settled as not run. The operator
   * checks the service after receiving the token, and passes the token when settling the order.
   */
  readonly settlementToken: string | undefined;
}

/** How an operator settles an order. */
export interface OrderSettlement extends OrderReference {
  readonly verdict: SettlementVerdict;
  /** Name of the operator, for the audit trail. */
  readonly operator: string;
  readonly reason: string;
  /** Required to settle an order as not run. */
  readonly settlementToken?: string;
  /** The answer for repeated requests, if the operator obtained it from the service. */
  readonly answer?: RecordedAnswer;
}

/** Operations on orders for operators; each method rejects with a SardinegradeError or PlatformError. */
export interface OrderOperations {
  readonly listOrders: (filter: OrderFilter) => Promise<OrderPage>;
  readonly showOrder: (reference: OrderReference) => Promise<OrderView>;
  readonly settleOrder: (settlement: OrderSettlement) => Promise<StoredOrder>;
}

interface OperationOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly settler: OrderSettler;
}

const SETTLEMENT_EVENTS: Readonly<Record<SettlementVerdict, OrderEvent>> = {
  [SettlementVerdict.Run]: OrderEvent.SettleRun,
  [SettlementVerdict.NotRun]: OrderEvent.SettleNotRun,
};

const UNSETTLED_STATES: ReadonlySet<OrderState> = new Set([
  OrderState.Unknown,
  OrderState.Dispatching,
]);

const buildSettlementToken = ({ version }: StoredOrder): string => `settleable-${version}`;

const isMatch = (record: OrderRecord, filter: OrderFilter): boolean =>
  (filter.states?.includes(record.state) ?? true) &&
  (filter.workspace === undefined || filter.workspace === record.workspace) &&
  (filter.service === undefined || filter.service === record.service);

const WRITE_TIMEOUT_MS = 5_000;

/** Creates the operators' functions of one daemon. */
export const createOrderOperations = (options: OperationOptions): OrderOperations => {
  const { store, settler, clock, writeBudget } = options;

  const listOrders = async (filter: OrderFilter): Promise<OrderPage> => {
    const page = await store.list(filter.after);
    for (const { record } of page.orders) settler.observeAttempt(record);
    const orders = page.orders.filter(({ record }) => isMatch(record, filter));
    return { orders, next: page.next };
  };

  const readOrder = async ({ workspace, service, key }: OrderReference): Promise<StoredOrder> => {
    const stored = await store.read(deriveOrderName(workspace, service, key));
    if (stored === undefined) throw createNotFoundError();
    return stored;
  };

  const showOrder = async (reference: OrderReference): Promise<OrderView> => {
    const stored = await readOrder(reference);
    if (!UNSETTLED_STATES.has(stored.record.state)) {
      return { stored, notRunWaitMs: undefined, settlementToken: undefined };
    }
    const notRunWaitMs = settler.estimateNotRunWaitMs(stored.record);
    const settlementToken = notRunWaitMs === 0 ? buildSettlementToken(stored) : undefined;
    return { stored, notRunWaitMs, settlementToken };
  };

  /** Ensures that the operator checked the service at a time when the order's call could no longer reach it. */
  const checkNotRun = (stored: StoredOrder, settlementToken: string | undefined) => {
    if (settlementToken === buildSettlementToken(stored)) return;
    const waitMs = settler.estimateNotRunWaitMs(stored.record);
    if (waitMs > 0) {
      throw createNotSettleableError('Its call may still be on its way to the service.', waitMs);
    }
    throw createNotSettleableError(
      'Show the order for its token, look into the service, then settle with the token.',
    );
  };

  const checkSettleable = (stored: StoredOrder, settlement: OrderSettlement) => {
    const { state } = stored.record;
    if (!UNSETTLED_STATES.has(state)) throw createNotSettleableError(`The order is ${state}.`);
    if (settlement.verdict === SettlementVerdict.Run) return;
    checkNotRun(stored, settlement.settlementToken);
  };

  const settleOrder = async (settlement: OrderSettlement): Promise<StoredOrder> => {
    const { verdict, operator, reason, answer } = settlement;
    const stored = await readOrder(settlement);
    checkSettleable(stored, settlement);
    const event = SETTLEMENT_EVENTS[verdict];
    const auditedEvent = { event, atMs: clock.getNowMs(), by: `operator:${operator}`, reason };
    const record = applyEvent(stored.record, auditedEvent, answer === undefined ? {} : { answer });
    if (record === undefined)
      throw createNotSettleableError(`The order is ${stored.record.state}.`);
    writeBudget.use(1);
    const giveUpAtMs = options.getMonotonicMs() + WRITE_TIMEOUT_MS;
    const { name, version } = stored;
    const result = await store.writeRecord({ name, ifVersion: version, record, giveUpAtMs });
    switch (result.outcome) {
      case SaveOutcome.Saved:
        return result.stored;
      case SaveOutcome.Conflict:
        throw createNotSettleableError('The order changed meanwhile; look at it again.');
      case SaveOutcome.NotSaved:
      case SaveOutcome.Uncertain:
        throw createPlatformError(RunState.Unknown, result.cause);
    }
  };

  return { listOrders, showOrder, settleOrder };
};
