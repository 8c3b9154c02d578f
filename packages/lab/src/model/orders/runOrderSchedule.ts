import { toBranded } from '@sardinegrade/common';
import { deriveScopedKey, OrderState, SettlementVerdict } from '@sardinegrade/orders';

import { buildModelService, createModelFleet } from './modelFleet.js';
import { createModelPlatform } from './modelPlatform.js';
import { createModelService } from './modelService.js';
import { OrderOracle } from './OrderOracle.js';
import { Simulation } from './Simulation.js';

import type { OrderService, OrderSubmission, StoredOrder } from '@sardinegrade/orders';
import type { ModelDaemon, ModelFleet } from './modelFleet.js';
import type { ModelService } from './modelService.js';
import type { TrackedSubmission } from './OrderOracle.js';
import type { OrderSchedule, OrderVerdict, PlannedSubmission } from './types.js';

/** Faulty implementations that the model must detect; by default the real order service runs. */
export interface OrderModelOptions {
  /** Runs the naive implementation: forward and retry, without order records. */
  readonly isNaive?: boolean;
  /** Runs the order service without the check of the call window right before a call. */
  readonly ignoresCallWindow?: boolean;
}

const WORKSPACE = toBranded<OrderSubmission['workspace']>('rig-desk');
const DEADLINE_MS = 10_000;
const FAULT_PERIOD_MS = 240_000;
const RECOVERY_PERIOD_MS = 180_000;
const ROUND_DURATION_MS = 20_000;
const SETTLEMENT_ROUNDS = 3;
/** Keeps the final requests within the write budget of one daemon. */
const FINAL_REQUEST_INTERVAL_MS = 100;

const SETTLED_STATES: ReadonlySet<OrderState> = new Set([OrderState.Done, OrderState.NotRun]);
const OPEN_STATES = [OrderState.Unknown, OrderState.Dispatching];

/** Runs one schedule. */
class OrderModel {
  private readonly simulation: Simulation;
  private readonly oracle = new OrderOracle();
  private readonly platform;
  private readonly service: ModelService;
  private readonly fleet: ModelFleet;
  private readonly submissionsByDaemon = new Map<ModelDaemon, TrackedSubmission[]>();
  private unsettled = 0;
  private lost = 0;

  constructor(
    private readonly schedule: OrderSchedule,
    private readonly options: OrderModelOptions,
  ) {
    const simulation = new Simulation(schedule.seed);
    this.simulation = simulation;
    this.platform = createModelPlatform(simulation, schedule);
    this.service = createModelService(simulation, schedule, {
      ignoresCallWindow: options.ignoresCallWindow ?? false,
      onExecution: (execution) => this.oracle.recordExecution(execution),
      pauseHost: (host) => this.fleet.pauseHost(host),
    });
    this.fleet = createModelFleet({
      simulation,
      schedule,
      platform: this.platform,
      service: this.service,
      isNaive: options.isNaive ?? false,
      faultsEndAtMs: simulation.nowMs + FAULT_PERIOD_MS,
      onCrash: (daemon) => this.handleCrash(daemon),
    });
  }

  async run(): Promise<OrderVerdict> {
    for (const planned of this.schedule.submissions) this.scheduleSubmission(planned);
    for (const atMs of this.schedule.operatorAtMs) {
      this.simulation.schedule(atMs, () => this.startSettlement());
    }
    await this.simulation.run(this.simulation.nowMs + FAULT_PERIOD_MS);
    this.platform.stopFaults();
    this.service.stopFaults();
    this.fleet.stopFaults();
    await this.simulation.run(this.simulation.nowMs + RECOVERY_PERIOD_MS);
    // Several rounds: the service may refuse a settlement until a waiting time has passed.
    for (let round = 0; round < SETTLEMENT_ROUNDS; round += 1) {
      this.startSettlement();
      await this.simulation.run(this.simulation.nowMs + ROUND_DURATION_MS);
    }
    await this.checkRecords();
    await this.checkFinalRequests();
    return this.buildVerdict();
  }

  private handleCrash(daemon: ModelDaemon): void {
    for (const submission of this.submissionsByDaemon.get(daemon) ?? []) {
      this.oracle.recordBrokenConnection(submission);
    }
  }

  private scheduleSubmission(planned: PlannedSubmission): void {
    this.simulation.schedule(planned.atMs, () => {
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
      this.simulation.nowMs,
    );
    this.submissionsByDaemon.set(daemon, [
      ...(this.submissionsByDaemon.get(daemon) ?? []),
      submission,
    ]);
    this.simulation.schedule(1, () => void this.sendOrder(daemon, key, submission), daemon.host);
  }

  private async sendOrder(
    daemon: ModelDaemon,
    key: string,
    submission: TrackedSubmission,
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
    const start = Math.floor(this.simulation.pickBetween(0, this.schedule.daemons));
    for (let offset = 0; offset < this.schedule.daemons; offset += 1) {
      const daemon = this.fleet.findDaemon((start + offset) % this.schedule.daemons);
      if (daemon?.service !== undefined) return daemon.service;
    }
    return undefined;
  }

  private startSettlement(): void {
    const service = this.findService();
    if (service !== undefined) this.settleOpenOrders(service).catch(() => undefined);
  }

  /** Settles each open order as run or not run, according to the executions at the service. */
  private async settleOpenOrders(service: OrderService): Promise<void> {
    for (const stored of await this.listOrders(service, OPEN_STATES)) {
      await this.settleOrder(service, stored).catch(() => undefined);
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

  private async settleOrder(service: OrderService, { record }: StoredOrder): Promise<void> {
    const { workspace, key } = record;
    const reference = { workspace, service: record.service, key };
    const { settlementToken } = await service.showOrder(reference);
    const isExecuted = this.service.findExecution(deriveScopedKey(workspace, key)) !== undefined;
    const verdict = isExecuted ? SettlementVerdict.Run : SettlementVerdict.NotRun;
    const note = { operator: 'alice', reason: 'looked into the service' };
    const token = settlementToken === undefined ? {} : { settlementToken };
    await service.settleOrder({ ...reference, ...note, ...token, verdict });
  }

  /** Checks that every record is settled and agrees with the executions at the service. */
  private async checkRecords(): Promise<void> {
    const service = this.findService();
    if (service === undefined) return;
    const listed: StoredOrder[] = [];
    void this.listOrders(service, Object.values(OrderState)).then((all) => listed.push(...all));
    await this.simulation.run(this.simulation.nowMs + 1_000);
    for (const { record } of listed) {
      if (!SETTLED_STATES.has(record.state)) this.unsettled += 1;
      const key = deriveScopedKey(record.workspace, record.key);
      const isExecuted = this.oracle.getExecutions(key).length > 0;
      if (record.state === OrderState.NotRun && isExecuted) this.oracle.falseNotRun += 1;
      if (record.state === OrderState.Done && !isExecuted) this.lost += 1;
    }
  }

  /** Repeats each order through every daemon; afterwards every order must have been executed. */
  private async checkFinalRequests(): Promise<void> {
    for (let index = 0; index < this.schedule.daemons; index += 1) {
      for (const scopedKey of this.oracle.listKeys()) {
        const daemon = this.fleet.findDaemon(index);
        if (daemon !== undefined) this.submit(daemon, scopedKey.slice(WORKSPACE.length + 1));
        await this.simulation.run(this.simulation.nowMs + FINAL_REQUEST_INTERVAL_MS);
      }
      await this.simulation.run(this.simulation.nowMs + ROUND_DURATION_MS);
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
 * Simulates a schedule in virtual time.
 *
 * @param schedule - requests, daemons and faults
 * @param options - implementation under test; the real order service by default
 * @returns violations and totals that the oracle counted
 */
export const runOrderSchedule = (
  schedule: OrderSchedule,
  options: OrderModelOptions = {},
): Promise<OrderVerdict> => new OrderModel(schedule, options).run();

/**
 * Checks whether a schedule violated a guarantee to callers.
 *
 * @param verdict - counts of the oracle
 * @returns true if an order ran twice, was lost or stayed unsettled, or a caller received a false or differing result
 */
export const hasContradiction = (verdict: OrderVerdict): boolean => {
  const { runTwice, lost, falseNotRun, differingAnswers, unsettled } = verdict;
  return runTwice + lost + falseNotRun + differingAnswers + unsettled > 0;
};
