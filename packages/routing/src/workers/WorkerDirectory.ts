import type { ServiceName, UpstreamId } from '@sardinegrade/common';

import type { Worker } from './types.js';

/**
 * Time after an outage of the platform's store in which a missing registration does not count as removed, in
 * milliseconds. Registrations that lapsed during the outage are renewed within about two seconds, according to the
 * platform's operators.
 */
export const LAPSED_GRACE_MS = 2_200;

interface Entry {
  readonly worker: Worker;
  /** When a missing registration counts as removed; undefined while the worker is registered. */
  readonly goneAtMs: number | undefined;
}

/**
 * The workers registered in the platform's store, including those whose registration lapsed during an outage of the
 * store.
 */
export class WorkerDirectory {
  readonly #entries = new Map<UpstreamId, Entry>();
  /** Results of `listUsable` by service; cleared on every change. */
  readonly #usable = new Map<ServiceName, readonly Worker[]>();
  #storeRecoveredAtMs = Number.NEGATIVE_INFINITY;

  /** Records that the store is available again after an outage. */
  recordStoreRecovery(nowMs: number): void {
    this.#storeRecoveredAtMs = nowMs;
  }

  /** Adds or replaces a worker. */
  set(worker: Worker): void {
    this.#usable.clear();
    this.#entries.set(worker.id, { worker, goneAtMs: undefined });
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
    if (entry === undefined || entry.worker.isLeaving || nowMs >= graceEndMs) {
      this.#entries.delete(id);
      return;
    }
    this.#entries.set(id, { worker: entry.worker, goneAtMs: graceEndMs });
  }

  /**
   * Replaces all workers by a complete list.
   *
   * @param workers - all registered workers
   * @param nowMs - current time, in milliseconds
   */
  replaceAll(workers: readonly Worker[], nowMs: number): void {
    const listed = new Set(workers.map((worker) => worker.id));
    for (const id of [...this.#entries.keys()]) {
      if (!listed.has(id)) this.remove(id, nowMs);
    }
    for (const worker of workers) this.set(worker);
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
}
