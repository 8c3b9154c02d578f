import type { VmId } from '@sardinegrade/common';
import type { EngineLoad, EngineLoads, LoadReport, WaitingLoad, WorkLoads } from './types.js';

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAtMs: number;
}

/**
 * Time without a report after which a VM counts as gone, in milliseconds. It covers several intervals because single
 * reports may be lost.
 */
export const PEER_TIMEOUT_MS = 2_500;

const NO_LOAD: EngineLoad = { backlogTokens: 0, runs: 0 };

/** No waiting requests. */
export const NO_WAITING: WaitingLoad = { requests: 0, promptTokens: 0 };

/** No work for workspaces. */
export const NO_WORK: WorkLoads = new Map();

/** Adds work to totals, or subtracts it. */
const addWork = (totals: Map<number, number>, work: WorkLoads, sign: 1 | -1): void => {
  for (const [workspace, tokens] of work) {
    const total = (totals.get(workspace) ?? 0) + sign * tokens;
    if (total <= 0) totals.delete(workspace);
    else totals.set(workspace, total);
  }
};

/**
 * Adds or subtracts work for workspaces.
 *
 * @param first - work to start from; not modified
 * @param second - work to add or subtract
 * @param sign - 1 adds, -1 subtracts
 * @returns the result by workspace
 */
export const mergeWork = (
  first: WorkLoads,
  second: WorkLoads = NO_WORK,
  sign: 1 | -1 = 1,
): WorkLoads => {
  const totals = new Map(first);
  addWork(totals, second, sign);
  return totals;
};

/**
 * Adds or subtracts what waits at VMs.
 *
 * @param first - load to start from
 * @param second - load to add or subtract
 * @param sign - 1 adds, -1 subtracts
 * @returns the result
 */
export const mergeWaiting = (
  first: WaitingLoad,
  second: WaitingLoad,
  sign: 1 | -1 = 1,
): WaitingLoad => ({
  requests: first.requests + sign * second.requests,
  promptTokens: first.promptTokens + sign * second.promptTokens,
});

/** Adds loads to totals, or subtracts them. */
const addLoads = (totals: Map<number, EngineLoad>, loads: EngineLoads, sign: 1 | -1): void => {
  for (const [engine, load] of loads) {
    const total = totals.get(engine) ?? NO_LOAD;
    const backlogTokens = total.backlogTokens + sign * load.backlogTokens;
    const runs = total.runs + sign * load.runs;
    if (backlogTokens === 0 && runs === 0) totals.delete(engine);
    else totals.set(engine, { backlogTokens, runs });
  }
};

/**
 * Adds or subtracts loads.
 *
 * @param first - loads to start from; not modified
 * @param second - loads to add or subtract
 * @param sign - 1 adds, -1 subtracts
 * @returns the result by engine
 */
export const mergeLoads = (
  first: EngineLoads,
  second: EngineLoads,
  sign: 1 | -1 = 1,
): EngineLoads => {
  const totals = new Map(first);
  addLoads(totals, second, sign);
  return totals;
};

/** The load that other VMs put on the engines, according to their last reports. */
export class SharedLoadView {
  readonly #reports = new Map<VmId, ReceivedReport>();
  /** Sums over all reports by the hash of the engine's id: a lookup takes constant time in a fleet of any size. */
  readonly #totals = new Map<number, EngineLoad>();
  #waiting = NO_WAITING;
  /** Sums over all reports by the hash of the workspace's name. */
  readonly #work = new Map<number, number>();

  /**
   * Applies a report unless a newer one of the same VM is known.
   *
   * @param report - the received report
   * @param nowMs - current time, in milliseconds
   * @returns whether it was applied
   */
  apply(report: LoadReport, nowMs: number): boolean {
    const previous = this.#reports.get(report.vm)?.report;
    const isStale =
      previous !== undefined &&
      (report.startedAtMs < previous.startedAtMs ||
        (report.startedAtMs === previous.startedAtMs && report.sequence <= previous.sequence));
    if (isStale) return false;
    if (previous !== undefined) this.#addToTotals(previous, -1);
    this.#addToTotals(report, 1);
    this.#reports.set(report.vm, { report, receivedAtMs: nowMs });
    return true;
  }

  /**
   * Gets the load that all other VMs put on an engine.
   *
   * @param engine - hash of the engine's id
   * @returns their load; reports of VMs that are gone are included until the next `countLive`
   */
  getLoad(engine: number): EngineLoad {
    return this.#totals.get(engine) ?? NO_LOAD;
  }

  /** What waits at all other VMs; reports of VMs that are gone are included until the next `countLive`. */
  get waiting(): WaitingLoad {
    return this.#waiting;
  }

  /** @returns tokens that engines have lately processed for a workspace, given by its hash, as sent by all other VMs */
  getWork(workspace: number): number {
    return this.#work.get(workspace) ?? 0;
  }

  /** Work for all workspaces, by the hashes of their names, as sent by all other VMs. */
  get work(): WorkLoads {
    return this.#work;
  }

  /** Counts the other VMs that are alive, and removes the reports of those that are gone. */
  countLive(nowMs: number): number {
    let count = 0;
    for (const [vm, { report, receivedAtMs }] of this.#reports) {
      if (nowMs - receivedAtMs > PEER_TIMEOUT_MS) this.remove(vm);
      else count += report.vmCount;
    }
    return count;
  }

  /** Removes the report of a VM. */
  remove(vm: VmId): void {
    const previous = this.#reports.get(vm);
    if (previous === undefined) return;
    this.#addToTotals(previous.report, -1);
    this.#reports.delete(vm);
  }

  /** @returns the last report of a VM, or undefined if there is none */
  find(vm: VmId): LoadReport | undefined {
    return this.#reports.get(vm)?.report;
  }

  /** @returns the sum over the reports of all VMs except one */
  computeTotalsWithout(vm: VmId): EngineLoads {
    const ownLoads = this.find(vm)?.engines;
    if (ownLoads === undefined) return this.#totals;
    return mergeLoads(this.#totals, ownLoads, -1);
  }

  /** @returns what waits at all VMs except one and this VM itself */
  computeWaitingWithout(vm: VmId): WaitingLoad {
    return mergeWaiting(this.#waiting, this.find(vm)?.waiting ?? NO_WAITING, -1);
  }

  /** @returns the work that all VMs except one and this VM itself have sent */
  computeWorkWithout(vm: VmId): WorkLoads {
    return mergeWork(this.#work, this.find(vm)?.work, -1);
  }

  #addToTotals({ engines, waiting, work }: LoadReport, sign: 1 | -1): void {
    if (work !== undefined) addWork(this.#work, work, sign);
    addLoads(this.#totals, engines, sign);
    this.#waiting = mergeWaiting(this.#waiting, waiting, sign);
  }
}
