import { OrderEvent, OrderState, SaveOutcome, SettlementVerdict } from './enums.js';
import { createNotFoundError, createNotSettleableError, createPlatformError } from './errors.js';
import { RunState } from '@sardinegrade/common';
import { deriveOrderName } from './orderName.js';
import { applyEvent } from './orderRecord.js';

import type { ServiceName, WorkspaceName } from '@sardinegrade/common';
import type { OrderSettler } from './orderSettler.js';
import type { RecordStore } from './recordStore.js';
import type { OrderRecord, OrderServiceOptions, RecordedAnswer, StoredOrder } from './types.js';

/** Which order an operator means. */
export interface OrderReference {
  readonly workspace: WorkspaceName;
  readonly service: ServiceName;
  readonly key: string;
}

/** Which orders an operator wants listed; what is left out does not matter. */
export interface OrderFilter {
  readonly states?: readonly OrderState[];
  readonly workspace?: WorkspaceName;
  readonly service?: ServiceName;
  /** The `next` of the page before. */
  readonly after?: string;
}

/** One page of orders; it may be short or empty although more follow. */
export interface OrderPage {
  readonly orders: readonly StoredOrder[];
  readonly next: string | undefined;
}

/** An order as an operator sees it before settling it. */
export interface OrderView {
  readonly stored: StoredOrder;
  /** Until the order may be settled as not run; undefined where it is not open. */
  readonly notRunWaitMs: number | undefined;
  /**
   * Names this state of the order, once it may be settled as not run. The operator looks into the service
   * after receiving it, and settles with it.
   */
  readonly settlementToken: string | undefined;
}

/** How an operator settles an order. */
export interface OrderSettlement extends OrderReference {
  readonly verdict: SettlementVerdict;
  /** The administrator's name, for the audit trail. */
  readonly operator: string;
  readonly reason: string;
  /** Required to settle an order as not run. */
  readonly settlementToken?: string;
  /** The answer that resends get, where the operator has it from the service. */
  readonly answer?: RecordedAnswer;
}

/** What operators do with orders; each method rejects with a SardinegradeError or PlatformError. */
export interface OrderOperations {
  readonly listOrders: (filter: OrderFilter) => Promise<OrderPage>;
  readonly showOrder: (reference: OrderReference) => Promise<OrderView>;
  readonly settleOrder: (settlement: OrderSettlement) => Promise<StoredOrder>;
}

interface OperationOptions extends OrderServiceOptions {
  readonly store: RecordStore;
  readonly settler: OrderSettler;
}

const EVENTS: Readonly<Record<SettlementVerdict, OrderEvent>> = {
  [SettlementVerdict.Run]: OrderEvent.SettleRun,
  [SettlementVerdict.NotRun]: OrderEvent.SettleNotRun,
};

const OPEN: ReadonlySet<OrderState> = new Set([OrderState.Unknown, OrderState.Dispatching]);

const buildToken = ({ version }: StoredOrder): string => `settleable-${version}`;

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
    if (!OPEN.has(stored.record.state)) {
      return { stored, notRunWaitMs: undefined, settlementToken: undefined };
    }
    const notRunWaitMs = settler.estimateNotRunWaitMs(stored.record);
    const settlementToken = notRunWaitMs === 0 ? buildToken(stored) : undefined;
    return { stored, notRunWaitMs, settlementToken };
  };

  /** An order is not run only if the operator looked into the service after no call could arrive. */
  const checkNotRun = (stored: StoredOrder, settlementToken: string | undefined) => {
    if (settlementToken === buildToken(stored)) return;
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
    if (!OPEN.has(state)) throw createNotSettleableError(`The order is ${state}.`);
    if (settlement.verdict === SettlementVerdict.Run) return;
    checkNotRun(stored, settlement.settlementToken);
  };

  const settleOrder = async (settlement: OrderSettlement): Promise<StoredOrder> => {
    const { verdict, operator, reason, answer } = settlement;
    const stored = await readOrder(settlement);
    checkSettleable(stored, settlement);
    const event = EVENTS[verdict];
    const note = { event, atMs: clock.getNowMs(), by: `operator:${operator}`, reason };
    const record = applyEvent(stored.record, note, answer === undefined ? {} : { answer });
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
