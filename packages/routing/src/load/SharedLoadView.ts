import type { VmId } from '@sardinegrade/common';
import type { EngineLoad, EngineLoads, LoadReport } from './types.js';

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedAtMs: number;
}

/** A VM that has been silent for this long counts as gone, in milliseconds: some of its reports may be lost. */
export const PEER_TIMEOUT_MS = 2_500;

const NO_LOAD: EngineLoad = { backlogTokens: 0, runs: 0 };

/** Adds loads to totals, or takes them off. */
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
 * Adds up loads.
 *
 * @param first - some loads
 * @param second - others
 * @param sign - minus one takes the others off
 * @returns the sum
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

/** The load that other VMs put on the engines, as they last said. */
export class SharedLoadView {
  readonly #reports = new Map<VmId, ReceivedReport>();
  /** Sums over the reports, by the hash of the engine's id: reading one costs the same at any size of the fleet. */
  readonly #totals = new Map<number, EngineLoad>();

  /**
   * Takes a report, unless a newer one of the same VM is known.
   *
   * @param report - what the VM says
   * @param nowMs - the present
   * @returns whether it was news
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
   * Tells what all other VMs have at an engine.
   *
   * @param engine - hash of the engine's id
   * @returns their load, as of the last `countLive`
   */
  getLoad(engine: number): EngineLoad {
    return this.#totals.get(engine) ?? NO_LOAD;
  }

  /** Counts the other VMs that are alive, and forgets reports of those that are gone. */
  countLive(nowMs: number): number {
    let count = 0;
    for (const [vm, { report, receivedAtMs }] of this.#reports) {
      if (nowMs - receivedAtMs > PEER_TIMEOUT_MS) this.remove(vm);
      else count += report.vmCount;
    }
    return count;
  }

  /** Forgets what a VM said. */
  remove(vm: VmId): void {
    const previous = this.#reports.get(vm);
    if (previous === undefined) return;
    this.#addToTotals(previous.report, -1);
    this.#reports.delete(vm);
  }

  /** @returns the last report of a VM, or undefined */
  find(vm: VmId): LoadReport | undefined {
    return this.#reports.get(vm)?.report;
  }

  /** @returns what all VMs but one said, added up */
  computeTotalsWithout(vm: VmId): EngineLoads {
    const ownLoads = this.find(vm)?.engines;
    if (ownLoads === undefined) return this.#totals;
    return mergeLoads(this.#totals, ownLoads, -1);
  }

  #addToTotals({ engines }: LoadReport, sign: 1 | -1): void {
    addLoads(this.#totals, engines, sign);
  }
}
