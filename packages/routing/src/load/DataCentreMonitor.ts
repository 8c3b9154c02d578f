import type { DataCentreName } from '@sardinegrade/common';

/**
 * Time without any sign of a data centre after which it counts as unreachable, in milliseconds. Each of its VMs has
 * missed a report by then.
 */
export const UNREACHABLE_AFTER_MS = 450;

/** Minimum interval between two requests that probe an unreachable data centre, in milliseconds. */
const PROBE_INTERVAL_MS = 500;

interface DataCentreState {
  lastSeenAtMs: number;
  probedAtMs: number;
}

/**
 * Detects unreachable data centres from the absence of load reports of their VMs and of answers of their workers.
 *
 * Load pattern: a data centre is cut off while requests continue. Without this, each of its workers would have to fail
 * individually before it is avoided, and each failure would lose a request that may not be repeated.
 */
export class DataCentreMonitor {
  readonly #states = new Map<DataCentreName, DataCentreState>();

  /** Records that a VM of a data centre sent a report. The data centre is monitored from then on. */
  recordReport(dataCentre: DataCentreName, atMs: number): void {
    const state = this.#states.get(dataCentre);
    if (state === undefined) {
      this.#states.set(dataCentre, { lastSeenAtMs: atMs, probedAtMs: atMs });
      return;
    }
    state.lastSeenAtMs = Math.max(state.lastSeenAtMs, atMs);
  }

  /** @returns the time since each monitored data centre was last seen, in milliseconds */
  listLastSeenAges(nowMs: number): ReadonlyMap<DataCentreName, number> {
    return new Map(
      [...this.#states].map(([dataCentre, { lastSeenAtMs }]) => [dataCentre, nowMs - lastSeenAtMs]),
    );
  }

  /** Records that a worker of a data centre sent data. Does nothing unless the data centre is monitored. */
  recordWorkerActivity(dataCentre: DataCentreName, nowMs: number): void {
    const state = this.#states.get(dataCentre);
    if (state !== undefined) state.lastSeenAtMs = nowMs;
  }

  /** @returns whether a monitored data centre has not been seen for longer than the timeout */
  isUnreachable(dataCentre: DataCentreName, nowMs: number): boolean {
    const state = this.#states.get(dataCentre);
    return state !== undefined && nowMs - state.lastSeenAtMs > UNREACHABLE_AFTER_MS;
  }

  /**
   * Claims the next probe of an unreachable data centre.
   *
   * @param dataCentre - the data centre
   * @param nowMs - current time, in milliseconds
   * @returns whether a repeatable request may be sent there now
   */
  claimProbe(dataCentre: DataCentreName, nowMs: number): boolean {
    const state = this.#states.get(dataCentre);
    if (state === undefined || nowMs - state.probedAtMs < PROBE_INTERVAL_MS) return false;
    state.probedAtMs = nowMs;
    return true;
  }
}
