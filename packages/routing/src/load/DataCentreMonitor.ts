import type { DataCentreName } from '@sardinegrade/common';

/**
 * A data centre of which nothing has been heard for this long is taken to be cut off, in milliseconds: each of
 * its VMs has missed a report by then.
 */
export const UNREACHABLE_AFTER_MS = 450;

/** One request at a time tries a silent data centre, this far apart, in milliseconds. */
const PROBE_INTERVAL_MS = 500;

interface DataCentreState {
  lastSeenAtMs: number;
  probedAtMs: number;
}

/**
 * Tells which data centres are out of reach, by what their VMs and workers say of themselves.
 *
 * Load pattern: a data centre is cut off while requests go on: each of its workers would have to fail on its own
 * before it is avoided, and a request that may not be repeated is lost with each.
 */
export class DataCentreMonitor {
  readonly #states = new Map<DataCentreName, DataCentreState>();

  /** Records when a VM of a data centre said something: it is watched from now on. */
  recordReport(dataCentre: DataCentreName, atMs: number): void {
    const state = this.#states.get(dataCentre);
    if (state === undefined) {
      this.#states.set(dataCentre, { lastSeenAtMs: atMs, probedAtMs: atMs });
      return;
    }
    state.lastSeenAtMs = Math.max(state.lastSeenAtMs, atMs);
  }

  /** @returns the data centres that were heard of, with the time since, in milliseconds */
  listLastSeenAges(nowMs: number): ReadonlyMap<DataCentreName, number> {
    return new Map(
      [...this.#states].map(([dataCentre, { lastSeenAtMs }]) => [dataCentre, nowMs - lastSeenAtMs]),
    );
  }

  /** Records that a worker of a data centre said something. */
  recordWorkerActivity(dataCentre: DataCentreName, nowMs: number): void {
    const state = this.#states.get(dataCentre);
    if (state !== undefined) state.lastSeenAtMs = nowMs;
  }

  /** @returns whether nothing is heard of a data centre that was heard of before */
  isUnreachable(dataCentre: DataCentreName, nowMs: number): boolean {
    const state = this.#states.get(dataCentre);
    return state !== undefined && nowMs - state.lastSeenAtMs > UNREACHABLE_AFTER_MS;
  }

  /**
   * Claims the right to try a silent data centre.
   *
   * @param dataCentre - the data centre
   * @param nowMs - the present
   * @returns whether a request that may be repeated may go there now
   */
  claimProbe(dataCentre: DataCentreName, nowMs: number): boolean {
    const state = this.#states.get(dataCentre);
    if (state === undefined || nowMs - state.probedAtMs < PROBE_INTERVAL_MS) return false;
    state.probedAtMs = nowMs;
    return true;
  }
}
