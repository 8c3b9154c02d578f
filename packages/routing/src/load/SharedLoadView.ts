import type { VmId } from '@sardinegrade/common';
import type { EngineLoad, EngineLoads, LoadReport, WaitingLoad } from './types.js';

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

  #addToTotals({ engines, waiting }: LoadReport, sign: 1 | -1): void {
    addLoads(this.#totals, engines, sign);
    this.#waiting = mergeWaiting(this.#waiting, waiting, sign);
  }
}
