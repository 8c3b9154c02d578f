import { toBranded } from '@sardinegrade/common';
import { deriveScopedKey, OrderState, SettlementVerdict } from '@sardinegrade/orders';

import { buildModelService, createModelFleet } from './modelFleet.js';
import { createModelPlatform } from './modelPlatform.js';
import { createModelService } from './modelService.js';
import { OrderOracle } from './OrderOracle.js';
import { VirtualWorld } from './VirtualWorld.js';

import type { OrderService, OrderSubmission, StoredOrder } from '@sardinegrade/orders';
import type { ModelDaemon, ModelFleet } from './modelFleet.js';
import type { ModelService } from './modelService.js';
import type { FollowedSubmission } from './OrderOracle.js';
import type { OrderSchedule, OrderVerdict, PlannedSubmission } from './types.js';

/** Versions that the model must find at fault, besides the product itself. */
export interface OrderModelOptions {
  /** Forward and retry, without records. */
  readonly isNaive?: boolean;
  /** The product without the check right before the call. */
  readonly ignoresCallWindow?: boolean;
}

const WORKSPACE = toBranded<OrderSubmission['workspace']>('rig-desk');
const DEADLINE_MS = 10_000;
const FAULTY_PERIOD_MS = 240_000;
const SETTLING_PERIOD_MS = 180_000;
const FINAL_PERIOD_MS = 20_000;
const FINAL_VISITS = 3;
/** Within the write budget of one daemon. */
const FINAL_INTERVAL_MS = 100;

const SETTLED: ReadonlySet<OrderState> = new Set([OrderState.Done, OrderState.NotRun]);
const OPEN_STATES = [OrderState.Unknown, OrderState.Dispatching];

/** One run of a schedule. */
class OrderModel {
  private readonly world: VirtualWorld;
  private readonly oracle = new OrderOracle();
  private readonly platform;
  private readonly service: ModelService;
  private readonly fleet: ModelFleet;
  private readonly pending = new Map<ModelDaemon, FollowedSubmission[]>();
  private unsettled = 0;
  private lost = 0;

  constructor(
    private readonly schedule: OrderSchedule,
    private readonly options: OrderModelOptions,
  ) {
    const world = new VirtualWorld(schedule.seed);
    this.world = world;
    this.platform = createModelPlatform(world, schedule);
    this.service = createModelService(world, schedule, {
      ignoresCallWindow: options.ignoresCallWindow ?? false,
      onExecution: (execution) => this.oracle.recordExecution(execution),
      pauseHost: (host) => this.fleet.pauseHost(host),
    });
    this.fleet = createModelFleet({
      world,
      schedule,
      platform: this.platform,
      service: this.service,
      isNaive: options.isNaive ?? false,
      faultyUntilMs: world.nowMs + FAULTY_PERIOD_MS,
      onCrash: (daemon) => this.handleCrash(daemon),
    });
  }

  async run(): Promise<OrderVerdict> {
    for (const planned of this.schedule.submissions) this.scheduleSubmission(planned);
    for (const atMs of this.schedule.operatorAtMs) {
      this.world.schedule(atMs, () => this.startOperator());
    }
    await this.world.run(this.world.nowMs + FAULTY_PERIOD_MS);
    this.platform.stopFaults();
    this.service.stopFaults();
    this.fleet.stopFaults();
    await this.world.run(this.world.nowMs + SETTLING_PERIOD_MS);
    // An operator who is told to wait looks again.
    for (let visit = 0; visit < FINAL_VISITS; visit += 1) {
      this.startOperator();
      await this.world.run(this.world.nowMs + FINAL_PERIOD_MS);
    }
    await this.checkRecords();
    await this.checkFinalResends();
    return this.buildVerdict();
  }

  private handleCrash(daemon: ModelDaemon): void {
    for (const submission of this.pending.get(daemon) ?? []) {
      this.oracle.recordBrokenConnection(submission);
    }
  }

  private scheduleSubmission(planned: PlannedSubmission): void {
    this.world.schedule(planned.atMs, () => {
      const first = planned.daemon % this.schedule.daemons;
      const count = planned.isBroadcast ? this.schedule.daemons : 1;
      for (let offset = 0; offset < count; offset += 1) {
        const daemon = this.fleet.findDaemon((first + offset) % this.schedule.daemons);
        if (daemon !== undefined) this.submit(daemon, `key-${planned.key}`);
      }
    });
  }

  private submit(daemon: ModelDaemon, key: string): void {
    const submission = this.oracle.recordSubmission(
      deriveScopedKey(WORKSPACE, key),
      this.world.nowMs,
    );
    this.pending.set(daemon, [...(this.pending.get(daemon) ?? []), submission]);
    this.world.schedule(1, () => void this.sendOrder(daemon, key, submission), daemon.host);
  }

  private async sendOrder(
    daemon: ModelDaemon,
    key: string,
    submission: FollowedSubmission,
  ): Promise<void> {
    const result = await daemon.orders.submitOrder({
      workspace: WORKSPACE,
      service: buildModelService(this.schedule),
      key,
      request: { method: 'POST', path: '/', headers: {}, body: Buffer.from(key) },
      requestId: toBranded('request'),
      traceparent: '',
      deadlineAtMs: daemon.getNowMs() + DEADLINE_MS,
      concurrency: this.schedule.concurrency,
    });
    this.oracle.recordResult(submission, result);
  }

  private findService(): OrderService | undefined {
    const start = Math.floor(this.world.pickBetween(0, this.schedule.daemons));
    for (let offset = 0; offset < this.schedule.daemons; offset += 1) {
      const daemon = this.fleet.findDaemon((start + offset) % this.schedule.daemons);
      if (daemon?.service !== undefined) return daemon.service;
    }
    return undefined;
  }

  private startOperator(): void {
    const service = this.findService();
    if (service !== undefined) this.settleAll(service).catch(() => undefined);
  }

  /** The operator looks into the service, and settles each open order by what stands there. */
  private async settleAll(service: OrderService): Promise<void> {
    for (const stored of await this.listOrders(service, OPEN_STATES)) {
      await this.settleOne(service, stored).catch(() => undefined);
    }
  }

  private async listOrders(
    service: OrderService,
    states: readonly OrderState[],
  ): Promise<readonly StoredOrder[]> {
    const listed: StoredOrder[] = [];
    let after: string | undefined;
    do {
      const page = await service.listOrders({ states, ...(after === undefined ? {} : { after }) });
      listed.push(...page.orders);
      after = page.next;
    } while (after !== undefined);
    return listed;
  }

  private async settleOne(service: OrderService, { record }: StoredOrder): Promise<void> {
    const { workspace, key } = record;
    const reference = { workspace, service: record.service, key };
    const { settlementToken } = await service.showOrder(reference);
    const isRun = this.service.findExecution(deriveScopedKey(workspace, key)) !== undefined;
    const verdict = isRun ? SettlementVerdict.Run : SettlementVerdict.NotRun;
    const note = { operator: 'alice', reason: 'looked into the service' };
    const token = settlementToken === undefined ? {} : { settlementToken };
    await service.settleOrder({ ...reference, ...note, ...token, verdict });
  }

  /** Every record must be settled, and in agreement with the service. */
  private async checkRecords(): Promise<void> {
    const service = this.findService();
    if (service === undefined) return;
    const listed: StoredOrder[] = [];
    void this.listOrders(service, Object.values(OrderState)).then((all) => listed.push(...all));
    await this.world.run(this.world.nowMs + 1_000);
    for (const { record } of listed) {
      if (!SETTLED.has(record.state)) this.unsettled += 1;
      const key = deriveScopedKey(record.workspace, record.key);
      const isRun = this.oracle.getExecutions(key).length > 0;
      if (record.state === OrderState.NotRun && isRun) this.oracle.falseNotRun += 1;
      if (record.state === OrderState.Done && !isRun) this.lost += 1;
    }
  }

  /** A last resend over each daemon: the order must then have been run, once. */
  private async checkFinalResends(): Promise<void> {
    for (let index = 0; index < this.schedule.daemons; index += 1) {
      for (const scopedKey of this.oracle.listKeys()) {
        const daemon = this.fleet.findDaemon(index);
        if (daemon !== undefined) this.submit(daemon, scopedKey.slice(WORKSPACE.length + 1));
        await this.world.run(this.world.nowMs + FINAL_INTERVAL_MS);
      }
      await this.world.run(this.world.nowMs + FINAL_PERIOD_MS);
    }
    for (const scopedKey of this.oracle.listKeys()) {
      if (this.oracle.getExecutions(scopedKey).length === 0) this.lost += 1;
    }
  }

  private buildVerdict(): OrderVerdict {
    const { oracle } = this;
    return {
      runTwice: oracle.countRunTwice(),
      lost: this.lost + oracle.answeredWithoutExecution,
      falseNotRun: oracle.falseNotRun,
      differingAnswers: oracle.differingAnswers,
      unsettled: this.unsettled,
      executions: this.service.executions.length,
      submissions: oracle.countSubmissions(),
      ...this.fleet.countFaults(),
    };
  }
}

/**
 * Runs a schedule in virtual time.
 *
 * @param schedule - callers, daemons and faults
 * @param options - the version that runs
 * @returns what the oracle counted
 */
export const runOrderSchedule = (
  schedule: OrderSchedule,
  options: OrderModelOptions = {},
): Promise<OrderVerdict> => new OrderModel(schedule, options).run();

/**
 * Tells whether a schedule broke a promise to a caller.
 *
 * @param verdict - what the oracle counted
 * @returns true where an order ran twice, was lost, or a caller was told something false
 */
export const hasContradiction = (verdict: OrderVerdict): boolean => {
  const { runTwice, lost, falseNotRun, differingAnswers, unsettled } = verdict;
  return runTwice + lost + falseNotRun + differingAnswers + unsettled > 0;
};
