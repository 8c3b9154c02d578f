import { hashText } from '@sardinegrade/common';

import type { UpstreamId, VmId } from '@sardinegrade/common';

/** What one VM has sent to one engine. */
export interface EngineLoad {
  /** Prompt tokens that the engine still has to read for it. */
  readonly unreadTokens: number;
  /** Requests that it runs for it. */
  readonly runs: number;
}

/** What a VM says about its work at all engines. */
export interface LoadReport {
  readonly vm: VmId;
  /** Start of the VM's process, in milliseconds since the epoch. */
  readonly startedAtMs: number;
  /** Grows with each report of one process. */
  readonly sequence: number;
  /** Loads by the hash of the engine's id; engines that are not named have no work of the VM. */
  readonly engines: ReadonlyMap<number, EngineLoad>;
}

interface HeardReport {
  readonly report: LoadReport;
  readonly atMs: number;
}

/** A VM that has been silent for this long counts as gone, in milliseconds: some of its reports may be lost. */
export const PEER_SILENCE_MS = 2_500;

const NO_LOAD: EngineLoad = { unreadTokens: 0, runs: 0 };

/** The load that other VMs put on the engines, as they last said. */
export class SharedLoadView {
  readonly #reports = new Map<VmId, HeardReport>();
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
    const known = this.#reports.get(report.vm)?.report;
    const isStale =
      known !== undefined &&
      (report.startedAtMs < known.startedAtMs ||
        (report.startedAtMs === known.startedAtMs && report.sequence <= known.sequence));
    if (isStale) return false;
    if (known !== undefined) this.#addToTotals(known, -1);
    this.#addToTotals(report, 1);
    this.#reports.set(report.vm, { report, atMs: nowMs });
    return true;
  }

  /**
   * Tells what all other VMs have at an engine.
   *
   * @param upstream - the engine
   * @returns their load, as of the last `countLive`
   */
  measure(upstream: UpstreamId): EngineLoad {
    return this.#totals.get(hashText(upstream)) ?? NO_LOAD;
  }

  /** Counts the other VMs that are alive, and forgets those that are gone. */
  countLive(nowMs: number): number {
    for (const [vm, { report, atMs }] of this.#reports) {
      if (nowMs - atMs <= PEER_SILENCE_MS) continue;
      this.#addToTotals(report, -1);
      this.#reports.delete(vm);
    }
    return this.#reports.size;
  }

  #addToTotals({ engines }: LoadReport, sign: 1 | -1): void {
    for (const [engine, load] of engines) {
      const total = this.#totals.get(engine) ?? NO_LOAD;
      const unreadTokens = total.unreadTokens + sign * load.unreadTokens;
      const runs = total.runs + sign * load.runs;
      if (unreadTokens === 0 && runs === 0) this.#totals.delete(engine);
      else this.#totals.set(engine, { unreadTokens, runs });
    }
  }
}
