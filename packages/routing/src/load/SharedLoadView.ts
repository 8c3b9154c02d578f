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
  /** Engines that are not named have no work of the VM. */
  readonly engines: ReadonlyMap<UpstreamId, EngineLoad>;
}

interface HeardReport {
  readonly report: LoadReport;
  readonly atMs: number;
}

/** A VM that has been silent for this long counts as gone, in milliseconds: some of its reports may be lost. */
export const PEER_SILENCE_MS = 2_500;

/** Load reports older than this say nothing about an engine any more, in milliseconds. */
const REPORT_LIFETIME_MS = 1_300;

const NO_LOAD: EngineLoad = { unreadTokens: 0, runs: 0 };

/** The load that other VMs put on the engines, as they last said. */
export class SharedLoadView {
  readonly #reports = new Map<VmId, HeardReport>();

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
    this.#reports.set(report.vm, { report, atMs: nowMs });
    return true;
  }

  /**
   * Adds up what all other VMs have at an engine.
   *
   * @param upstream - the engine
   * @param nowMs - the present
   * @returns their load
   */
  measure(upstream: UpstreamId, nowMs: number): EngineLoad {
    let total = NO_LOAD;
    for (const { report, atMs } of this.#reports.values()) {
      const load = report.engines.get(upstream);
      if (load === undefined || nowMs - atMs > REPORT_LIFETIME_MS) continue;
      total = {
        unreadTokens: total.unreadTokens + load.unreadTokens,
        runs: total.runs + load.runs,
      };
    }
    return total;
  }

  /** Counts the other VMs that are alive, and forgets those that are gone. */
  countLive(nowMs: number): number {
    for (const [vm, { atMs }] of this.#reports) {
      if (nowMs - atMs > PEER_SILENCE_MS) this.#reports.delete(vm);
    }
    return this.#reports.size;
  }
}
