import { setImmediate } from 'node:timers/promises';

import { createLogger, createMetrics, LogFormat, LogLevel, toBranded } from '@sardinegrade/common';

import { DutyKind, DutyOutcome } from '../../enums.js';
import { buildUsagePage, createUsageReporter, FleetClock, UsageCounter } from '../index.js';
import { TestUsageStore } from './TestUsageStore.js';

import type { VmId, WorkspaceName } from '@sardinegrade/common';
import type { UsagePage, UsageReporter } from '../index.js';
import type { Journey } from './TestUsageStore.js';

export const WINDOW_MS = 5_000;
const STEP_MS = 100;
const START_MS = 1_000_000_000_000;

interface TestVm {
  readonly vm: VmId;
  readonly counter: UsageCounter;
  readonly clock: FleetClock;
  readonly reporter: UsageReporter;
  isAlive: boolean;
  isHolder: boolean;
  /** Difference between wall clock and true time, in milliseconds. */
  wallErrorMs: number;
  resumesAtMs: number;
}

/** Returns a random whole number from 0 to the maximum. */
export type IntegerPicker = (max: number) => number;

/** VMs that count and report in virtual time. */
export class UsageFleet {
  nowMs = START_MS;
  /** Counts that have begun in truth, and the contents that were sent, by window. */
  readonly trueCounts = new Map<number, Map<WorkspaceName, number>>();
  readonly sent = new Map<number, Set<string>>();
  readonly accepted = new Map<number, ReadonlyMap<WorkspaceName, number>>();
  readonly store = new TestUsageStore();
  readonly #events: { readonly atMs: number; readonly run: () => void }[] = [];
  readonly #vms: TestVm[] = [];

  constructor(
    vmCount: number,
    private readonly pickInteger: IntegerPicker,
    /** Part of the calls whose answers are lost, in percent. */
    private readonly lostPercent: number,
  ) {
    for (let index = 0; index < vmCount; index += 1) this.#vms.push(this.#startVm(index));
  }

  /** Replaces the process of a VM by a new one. */
  resetVm(index: number): void {
    this.#getVm(index).isAlive = false;
    this.#vms[index] = this.#startVm(index);
  }

  setHolder(index: number, isHolder: boolean): void {
    this.#getVm(index).isHolder = isHolder;
  }

  setWallError(index: number, errorMs: number): void {
    this.#getVm(index).wallErrorMs = errorMs;
  }

  pause(index: number, durationMs: number): void {
    this.#getVm(index).resumesAtMs = this.nowMs + durationMs;
  }

  /** Lets a request begin to run on a VM. */
  runRequest(index: number, workspace: WorkspaceName): void {
    const { counter, clock, resumesAtMs } = this.#getVm(index);
    if (resumesAtMs > this.nowMs) return;
    counter.record(workspace, clock.timeMs);
    const window = Math.floor(this.nowMs / WINDOW_MS);
    const counts = this.trueCounts.get(window) ?? new Map<WorkspaceName, number>();
    this.trueCounts.set(window, counts.set(workspace, (counts.get(workspace) ?? 0) + 1));
  }

  /** Advances the time by one step. */
  async step(): Promise<void> {
    for (const vm of this.#vms) if (vm.resumesAtMs <= this.nowMs) void vm.reporter.tick();
    await setImmediate();
    this.nowMs += STEP_MS;
    for (;;) {
      const index = this.#events.findIndex(({ atMs }) => atMs <= this.nowMs);
      if (index === -1) return;
      this.#events.splice(index, 1)[0]?.run();
      await setImmediate();
    }
  }

  #schedule = (delayMs: number, run: () => void): void => {
    this.#events.push({ atMs: this.nowMs + delayMs, run });
  };

  #getVm(index: number): TestVm {
    const vm = this.#vms[index];
    if (vm === undefined) throw new Error(`no VM ${index}`);
    return vm;
  }

  #isLost(): boolean {
    return this.pickInteger(99) < this.lostPercent;
  }

  /** Some calls whose answer is lost are executed seconds later. */
  #planJourney = (): Journey => {
    const isLost = this.#isLost();
    const delayMs =
      isLost && this.pickInteger(1) === 0 ? this.pickInteger(6_000) : this.pickInteger(200);
    return { toStoreMs: delayMs, backMs: isLost ? undefined : this.pickInteger(200) };
  };

  #startVm(index: number): TestVm {
    const name: VmId = toBranded(`vm${index}`);
    const startedAtMs = this.nowMs;
    let suspendedMs = 0;
    const isRunning = (): boolean => vm.resumesAtMs <= this.nowMs;
    const scheduleOwn = (delayMs: number, run: () => void): void =>
      this.#schedule(delayMs, () => {
        if (!vm.isAlive) return;
        if (isRunning()) run();
        else scheduleOwn(vm.resumesAtMs - this.nowMs, run);
      });
    let readAtMs = this.nowMs;
    const getNowMs = (): number => {
      // While the VM is suspended nothing reads its clock: a long gap between reads is a suspension.
      if (vm.resumesAtMs > readAtMs && isRunning()) suspendedMs += vm.resumesAtMs - readAtMs;
      readAtMs = Math.max(readAtMs, this.nowMs);
      return readAtMs - startedAtMs - suspendedMs;
    };
    const getWallMs = (): number => this.nowMs + vm.wallErrorMs;
    const state = { vm: name, isAlive: true, isHolder: false, wallErrorMs: 0, resumesAtMs: 0 };
    const vm = state as TestVm;
    const clock = new FleetClock({ getNowMs, getWallMs, roundMs: WINDOW_MS / 2 });
    const process = { vm: name, startedAtMs };
    const counter = new UsageCounter({ process, windowMs: WINDOW_MS });
    const address = { host: '127.0.0.1', port: index + 1 };
    const listPeers = () =>
      this.#vms
        .filter((other) => other.vm !== name)
        .map((other) => ({ vm: other.vm, dataCentre: toBranded<never>('dc'), address }));
    const reporter = createUsageReporter({
      settings: {
        address,
        kinds: new Set([DutyKind.UsageReport]),
        isFencingChecked: false,
        leaseMs: 3_000,
        usageWindowMs: WINDOW_MS,
        usageDueMs: 10_000,
      },
      holder: { isHolder: () => vm.isHolder, claimPermit: () => undefined },
      client: {
        orderWorkers: () => Promise.resolve(DutyOutcome.Refused),
        reportUsage: ({ window, counts }) =>
          new Promise((resolve) => {
            const content = JSON.stringify([...counts].sort());
            this.sent.set(window, (this.sent.get(window) ?? new Set()).add(content));
            const isLost = this.#isLost();
            if (!isLost) this.accepted.set(window, counts);
            const outcome = isLost ? DutyOutcome.Unanswered : DutyOutcome.Accepted;
            scheduleOwn(this.pickInteger(900), () => resolve(outcome));
          }),
      },
      store: this.store.connect(this.#planJourney, this.#schedule, scheduleOwn),
      listPeers,
      fetchPage: (peer, request) =>
        new Promise<UsagePage>((resolve, reject) => {
          const other = this.#vms.find((candidate) => candidate.vm === peer.vm);
          if (other === undefined || other.resumesAtMs > this.nowMs || this.#isLost()) {
            scheduleOwn(500, () => reject(new Error('no answer')));
            return;
          }
          const source = { ...other, getWallMs: () => this.nowMs + other.wallErrorMs };
          resolve(buildUsagePage(source, request));
        }),
      counter,
      clock,
      logger: createLogger({ level: LogLevel.Error, format: LogFormat.Json }),
      metrics: createMetrics(),
      getNowMs,
      getWallMs,
    });
    return Object.assign(vm, { counter, clock, reporter });
  }
}
