import type { ServiceName, UpstreamId } from '@sardinegrade/common';

import type { Worker } from './types.js';

/**
 * Time after an outage of the platform's store in which a missing registration does not count as removed, in
 * milliseconds. Registrations that lapsed during the outage, or that a restored store lacks, are renewed within about two
 * seconds, according to the platform's operators.
 */
export const LAPSED_GRACE_MS = 2_200;

/**
 * Time for which removed workers are remembered, in milliseconds. A copy from which the store is restored is some seconds
 * old, and the store removes a registration that no worker renews some seconds after its return.
 */
export const REMOVED_RETENTION_MS = 120_000;

interface Entry {
  readonly worker: Worker;
  /** Number of restores of the store before the registration was received. */
  readonly restores: number;
  /** When a missing registration counts as removed; undefined while the worker is registered. */
  readonly goneAtMs: number | undefined;
}

/** A worker whose registration was removed. */
interface RemovedEntry {
  readonly worker: Worker;
  readonly restores: number;
  readonly forgottenAtMs: number;
}

/**
 * Whether a registration from a copy of the store shows an earlier state of the worker than the known one. Within one
 * process, a worker that leaves does not become ready again.
 */
const isEarlierState = (listed: Worker, known: Worker): boolean => {
  if (listed.startedAtMs !== known.startedAtMs) return listed.startedAtMs < known.startedAtMs;
  if (known.isLeaving && !listed.isLeaving) return true;
  return listed.sequence < known.sequence;
};

/** Whether a registration from a copy of the store was written before the worker's removal. */
const isFromBeforeRemoval = (listed: Worker, removed: Worker): boolean =>
  listed.startedAtMs === removed.startedAtMs
    ? listed.sequence <= removed.sequence
    : listed.startedAtMs < removed.startedAtMs;

/**
 * The workers registered in the platform's store, including those whose registration lapsed during an outage of the
 * store. A store that was restored from an older copy shows earlier states of workers until they report again; these do
 * not replace what is known of them.
 */
export class WorkerDirectory {
  readonly #entries = new Map<UpstreamId, Entry>();
  readonly #removed = new Map<UpstreamId, RemovedEntry>();
  /** Results of `listUsable` by service; cleared on every change. */
  readonly #usable = new Map<ServiceName, readonly Worker[]>();
  #storeRecoveredAtMs = Number.NEGATIVE_INFINITY;
  #restores = 0;

  /** Records that the store is available again after an outage. */
  recordStoreRecovery(nowMs: number): void {
    this.#storeRecoveredAtMs = nowMs;
  }

  /** Records that the store was restored from an older copy: registrations received from now on may be outdated. */
  recordStoreRestore(nowMs: number): void {
    this.recordStoreRecovery(nowMs);
    this.#restores += 1;
    for (const [id, removed] of this.#removed) {
      this.#removed.set(id, { ...removed, forgottenAtMs: nowMs + REMOVED_RETENTION_MS });
    }
  }

  /**
   * Adds or replaces a worker.
   *
   * @param worker - the worker as it is registered
   * @returns whether it was applied; false if a later state is known from before a restore of the store
   */
  set(worker: Worker): boolean {
    if (this.#isOutdated(worker)) return false;
    this.#usable.clear();
    this.#removed.delete(worker.id);
    this.#entries.set(worker.id, { worker, restores: this.#restores, goneAtMs: undefined });
    return true;
  }

  /**
   * Removes a worker whose registration is gone. Soon after an outage of the store it may register again, so it is
   * kept for the grace period.
   *
   * @param id - id of the worker
   * @param nowMs - current time, in milliseconds
   */
  remove(id: UpstreamId, nowMs: number): void {
    const entry = this.#entries.get(id);
    if (entry?.goneAtMs !== undefined) return;
    this.#usable.clear();
    const graceEndMs = this.#storeRecoveredAtMs + LAPSED_GRACE_MS;
    if (entry === undefined) return;
    if (!entry.worker.isLeaving && nowMs < graceEndMs) {
      this.#entries.set(id, { ...entry, goneAtMs: graceEndMs });
      return;
    }
    this.#entries.delete(id);
    this.#forgetRemoved(nowMs);
    const { worker } = entry;
    const forgottenAtMs = nowMs + REMOVED_RETENTION_MS;
    this.#removed.set(id, { worker, restores: this.#restores, forgottenAtMs });
  }

  /**
   * Replaces all workers by a complete list.
   *
   * @param workers - all registered workers
   * @param nowMs - current time, in milliseconds
   * @returns the listed workers that were not applied, because a later state of them is known
   */
  replaceAll(workers: readonly Worker[], nowMs: number): readonly Worker[] {
    const listed = new Set(workers.map((worker) => worker.id));
    for (const id of [...this.#entries.keys()]) {
      if (!listed.has(id)) this.remove(id, nowMs);
    }
    return workers.filter((worker) => !this.set(worker));
  }

  /** @returns the worker, or undefined if it is not known */
  find(id: UpstreamId): Worker | undefined {
    return this.#entries.get(id)?.worker;
  }

  /**
   * Lists the workers of a service that may receive new requests.
   *
   * @param service - the service
   * @param nowMs - current time, in milliseconds
   * @returns workers that are not leaving; the same array as long as nothing changes
   */
  listUsable(service: ServiceName, nowMs: number): readonly Worker[] {
    const cached = this.#usable.get(service);
    if (cached !== undefined) return cached;
    const usable: Worker[] = [];
    let isCacheable = true;
    for (const [id, { worker, goneAtMs }] of this.#entries) {
      if (goneAtMs !== undefined && goneAtMs <= nowMs) {
        this.#entries.delete(id);
        continue;
      }
      if (goneAtMs !== undefined) isCacheable = false;
      if (worker.service === service && !worker.isLeaving) usable.push(worker);
    }
    if (isCacheable) this.#usable.set(service, usable);
    return usable;
  }

  /** @returns all workers, including those that are leaving */
  listAll(): readonly Worker[] {
    return [...this.#entries.values()].map((entry) => entry.worker);
  }

  /** Whether a registration shows an earlier state than the one known from before a restore of the store. */
  #isOutdated(worker: Worker): boolean {
    const entry = this.#entries.get(worker.id);
    if (entry !== undefined) {
      return entry.restores < this.#restores && isEarlierState(worker, entry.worker);
    }
    const removed = this.#removed.get(worker.id);
    if (removed === undefined || removed.restores === this.#restores) return false;
    return isFromBeforeRemoval(worker, removed.worker);
  }

  #forgetRemoved(nowMs: number): void {
    for (const [id, { forgottenAtMs }] of this.#removed) {
      if (forgottenAtMs <= nowMs) this.#removed.delete(id);
    }
  }
}
