import { MetricName } from '@sardinegrade/common';

import { DutyOutcome } from '../enums.js';
import { countAllWorkers, NO_WORKERS, WORKER_KINDS } from './allocation.js';
import { computeDemandEngines } from './computeNeeds.js';
import { WorkerKind } from './enums.js';
import { estimateDemand, MIN_COVERED_MS } from './estimateDemand.js';
import { findServiceFault } from './findViewFault.js';
import {
  computeInForce,
  isRepeatDue,
  isUndelivered,
  NO_ORDER,
  recordOrder,
  recordOutcome,
  recordReady,
  SETTLE_MS,
} from './orderBook.js';
import { planCapacity } from './planCapacity.js';

import type {
  DataCentreName,
  GaugeSample,
  Logger,
  Metrics,
  ServiceName,
} from '@sardinegrade/common';
import type { DutyClient } from '../types.js';
import type { DemandHistory } from './DemandHistory.js';
import type { OrderState } from './orderBook.js';
import type { CapacityPlan, PlanInput, ServiceView, SiteState } from './types.js';

/** Time after an order of more workers during which none are given up, in milliseconds, unless booting takes longer. */
const HOLD_AFTER_INCREASE_MS = 8_000;

/** Time between two reductions, in milliseconds: the effect of the first one shows in the demand by then. */
const HOLD_AFTER_REDUCTION_MS = 4_000;

/** Dependencies of `ServiceScaler`. */
export interface ServiceScalerOptions {
  readonly service: ServiceName;
  readonly history: DemandHistory;
  readonly client: DutyClient;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly getNowMs: () => number;
}

/** Circumstances of a decision that concern all services. */
export interface DecisionContext {
  /** Data centres that have been unreachable for some time. */
  readonly cut: ReadonlySet<DataCentreName>;
  /** Whether this VM has held the duty for long enough, and knows the load of enough VMs, to give up workers. */
  readonly mayReduce: boolean;
}

/** An order that a plan requires. */
interface PlannedOrder {
  readonly site: SiteState;
  readonly kind: WorkerKind;
  readonly count: number;
}

/** Decides the number of workers of one service and remembers what was ordered and answered. */
export class ServiceScaler {
  #orders: ReadonlyMap<string, OrderState> = new Map();
  #ordered: ReadonlyMap<string, GaugeSample> = new Map();
  /** When more workers were last ordered, also if they were refused: what is given up then could not be had again. */
  #increasedAtMs = Number.NEGATIVE_INFINITY;
  #reducedAtMs = Number.NEGATIVE_INFINITY;
  #loggedFault: string | undefined;
  #demandEngines = 0;

  /** @param options - the service, and how its workers are ordered */
  constructor(private readonly options: ServiceScalerOptions) {}

  /** The last ordered number of workers, by data centre and kind. */
  get ordered(): Iterable<GaugeSample> {
    return this.#ordered.values();
  }

  /** Demand at the last sample, in engines that are fully used. */
  get demandEngines(): GaugeSample {
    return { labels: { service: this.options.service }, value: this.#demandEngines };
  }

  /** Records the present demand for the metrics. */
  recordDemand({ demand, engine }: ServiceView): void {
    if (engine !== undefined) this.#demandEngines = computeDemandEngines(demand, engine);
  }

  /**
   * Decides, and orders what the decision changes.
   *
   * @param view - the service
   * @param context - circumstances that concern all services
   * @param maxOrders - largest number of orders; the others follow with the next decision
   * @returns the number of orders
   */
  decide(view: ServiceView, context: DecisionContext, maxOrders: number): number {
    const fault = findServiceFault(view);
    if (fault !== this.#loggedFault && fault !== undefined)
      this.options.logger.warn(`no workers are ordered: ${fault}`, { service: view.service });
    this.#loggedFault = fault;
    if (fault !== undefined || view.engine === undefined) return 0;
    this.#recordReady(view);
    const input = this.#buildInput(view, view.engine, context);
    const plan = planCapacity(input);
    const changes = this.#listOrders(input, plan).slice(0, maxOrders);
    for (const change of changes) this.#send(change, input, plan, countAllWorkers(view.leaving));
    return changes.length;
  }

  #recordReady({ bounds, ready }: ServiceView): void {
    for (const dataCentre of bounds.prices.keys())
      for (const kind of WORKER_KINDS) {
        const { [kind]: count } = ready.get(dataCentre) ?? NO_WORKERS;
        this.#setState(dataCentre, kind, recordReady(this.#getState(dataCentre, kind), count));
      }
  }

  #buildInput(
    { bounds, ready }: ServiceView,
    engine: PlanInput['engine'],
    { cut, mayReduce }: DecisionContext,
  ): PlanInput {
    const nowMs = this.options.getNowMs();
    const demand = estimateDemand(this.options.history.list(this.options.service), nowMs);
    const sites = [...bounds.prices.keys()].map((dataCentre): SiteState => {
      const readyHere = ready.get(dataCentre) ?? NO_WORKERS;
      const compute = (kind: WorkerKind): number =>
        computeInForce(this.#getState(dataCentre, kind), readyHere[kind], bounds.bootMs, nowMs);
      const canOrder = (kind: WorkerKind): boolean => {
        const state = this.#getState(dataCentre, kind);
        const isMissing = isUndelivered(state, readyHere[kind], bounds.bootMs, nowMs);
        return nowMs >= state.blockedUntilMs && !isMissing;
      };
      return {
        dataCentre,
        ready: readyHere,
        inForce: {
          [WorkerKind.Ordinary]: compute(WorkerKind.Ordinary),
          [WorkerKind.Spot]: compute(WorkerKind.Spot),
        },
        canOrder: {
          [WorkerKind.Ordinary]: canOrder(WorkerKind.Ordinary),
          [WorkerKind.Spot]: canOrder(WorkerKind.Spot),
        },
        isCut: cut.has(dataCentre),
      };
    });
    return {
      bounds,
      engine,
      demand,
      sites,
      mayReduce:
        mayReduce && cut.size === 0 && this.#canReduce(bounds.bootMs, demand.coveredMs, nowMs),
    };
  }

  #canReduce(bootMs: number, coveredMs: number, nowMs: number): boolean {
    const holdMs = Math.max(HOLD_AFTER_INCREASE_MS, bootMs + SETTLE_MS);
    return (
      // A crest of which this VM has not seen the demand may be less than one period ago.
      coveredMs >= MIN_COVERED_MS &&
      nowMs - this.#increasedAtMs >= holdMs &&
      nowMs - this.#reducedAtMs >= HOLD_AFTER_REDUCTION_MS
    );
  }

  #listOrders({ sites }: PlanInput, { allocation }: CapacityPlan): readonly PlannedOrder[] {
    const nowMs = this.options.getNowMs();
    return sites.flatMap((site) =>
      WORKER_KINDS.flatMap((kind) => {
        const count = allocation.get(site.dataCentre)?.[kind] ?? site.inForce[kind];
        const state = this.#getState(site.dataCentre, kind);
        const isChange = count !== site.inForce[kind] || isRepeatDue(state, nowMs);
        return isChange && state.pending === undefined && !site.isCut ? { site, kind, count } : [];
      }),
    );
  }

  #send(
    { site, kind, count }: PlannedOrder,
    input: PlanInput,
    plan: CapacityPlan,
    leaving: number,
  ): void {
    const { service, client, logger, getNowMs } = this.options;
    const { dataCentre, inForce, ready } = site;
    const nowMs = getNowMs();
    if (count > inForce[kind]) this.#increasedAtMs = nowMs;
    if (count < inForce[kind]) this.#reducedAtMs = nowMs;
    const state = this.#getState(dataCentre, kind);
    this.#setState(dataCentre, kind, recordOrder(state, count, ready[kind], nowMs));
    const { peak, mean } = input.demand;
    const inputs = {
      kind,
      reason: plan.reason,
      before: inForce[kind],
      ready: ready[kind],
      leaving,
      total: countAllWorkers(plan.allocation),
      needed: plan.needs.total,
      needed_after_loss: plan.needs.afterLoss,
      needed_ordinary: plan.needs.ordinary,
      peak_requests: Math.round(peak.requests),
      peak_busy: Math.round(peak.busyEngines),
      peak_pending_tokens: Math.round(peak.pendingTokens),
      mean_requests: Math.round(mean.requests),
    };
    logger.info('workers ordered', { service, dataCentre, count, inputs });
    client.orderWorkers({ service, dataCentre, count, isSpot: kind === WorkerKind.Spot }).then(
      (outcome) => this.#recordOutcome(dataCentre, kind, outcome),
      (error: unknown) => {
        // The client promises not to reject; an order that did may have been executed.
        logger.error('order of workers failed unexpectedly', { service, dataCentre, error });
        this.#recordOutcome(dataCentre, kind, DutyOutcome.Unanswered);
      },
    );
  }

  #recordOutcome(dataCentre: DataCentreName, kind: WorkerKind, outcome: DutyOutcome): void {
    const { service, logger, metrics, getNowMs } = this.options;
    const state = this.#getState(dataCentre, kind);
    const next = recordOutcome(state, outcome, getNowMs());
    this.#setState(dataCentre, kind, next);
    metrics.addCount(MetricName.WorkerOrders, { outcome });
    const value = next.inForce?.count;
    if (value !== undefined) {
      const labels = { service, data_centre: dataCentre, kind };
      this.#ordered = new Map(this.#ordered).set(`${dataCentre} ${kind}`, { labels, value });
    }
    if (outcome === DutyOutcome.Accepted) return;
    const inputs = { kind, outcome };
    const count = state.pending?.count;
    logger.warn('order of workers not accepted', { service, dataCentre, count, inputs });
  }

  #getState(dataCentre: DataCentreName, kind: WorkerKind): OrderState {
    return this.#orders.get(`${dataCentre} ${kind}`) ?? NO_ORDER;
  }

  #setState(dataCentre: DataCentreName, kind: WorkerKind, state: OrderState): void {
    this.#orders = new Map(this.#orders).set(`${dataCentre} ${kind}`, state);
  }
}
