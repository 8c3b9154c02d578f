import type { ServiceName, UpstreamId } from '@sardinegrade/common';

import type { Worker } from './types.js';

/**
 * Registrations that lapsed while the platform's store was away are back this long after its return
 * (the users' letter: about two seconds); until then a missing one is not taken for gone.
 */
export const LAPSED_GRACE_MS = 2_200;

interface Entry {
  readonly worker: Worker;
  /** When a missing registration counts as gone; undefined while it is registered. */
  readonly goneAtMs: number | undefined;
}

/** The workers that the platform's store names, with those that lapsed during an outage of the store. */
export class WorkerDirectory {
  readonly #entries = new Map<UpstreamId, Entry>();
  /** What `listUsable` gave last, by service, while nothing has changed. */
  readonly #usable = new Map<ServiceName, readonly Worker[]>();
  #storeRecoveredAtMs = Number.NEGATIVE_INFINITY;

  /** Records that the store answers again after an outage. */
  noteStoreReturn(nowMs: number): void {
    this.#storeRecoveredAtMs = nowMs;
  }

  /** Adds or replaces a worker. */
  set(worker: Worker): void {
    this.#usable.clear();
    this.#entries.set(worker.id, { worker, goneAtMs: undefined });
  }

  /**
   * Removes a worker whose registration is gone. Soon after an outage of the store it may come back,
   * and is kept for the grace period.
   *
   * @param id - the worker
   * @param nowMs - the present
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
   * Takes a full list for the truth.
   *
   * @param workers - all registered workers
   * @param nowMs - the present
   */
  replaceAll(workers: readonly Worker[], nowMs: number): void {
    const listed = new Set(workers.map((worker) => worker.id));
    for (const id of [...this.#entries.keys()]) {
      if (!listed.has(id)) this.remove(id, nowMs);
    }
    for (const worker of workers) this.set(worker);
  }

  /** @returns the worker, or undefined where it is not known */
  find(id: UpstreamId): Worker | undefined {
    return this.#entries.get(id)?.worker;
  }

  /**
   * Lists the workers of a service that may get new work.
   *
   * @param service - the service
   * @param nowMs - the present
   * @returns workers that are not leaving; the same list as long as nothing changes
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

  /** @returns all workers */
  listAll(): readonly Worker[] {
    return [...this.#entries.values()].map((entry) => entry.worker);
  }
}
