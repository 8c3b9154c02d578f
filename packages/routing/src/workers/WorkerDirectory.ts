import type { ServiceName, UpstreamId } from '@sardinegrade/common';

import type { Worker } from './types.js';

/**
 * Time after an outage of the platform's store in which a missing registration does not count as removed, in
 * milliseconds. Registrations that lapsed during the outage, or that a restored store lacks, are renewed within about two
 * seconds, according to the platform's operators.
 */
export const LAPSED_GRACE_MS = 2_200;

/**
 * Time after a restore of the store in which a worker that it lists, but that was not known before, gets no requests, in
 * milliseconds. It may have left before the restore; the store then removes its registration after three intervals of
 * status reports, 3.6 s in the platform's deployments.
 */
export const HELD_MS = 5_000;

interface Entry {
  readonly worker: Worker;
  /** Number of restores of the store before the registration was received. */
  readonly restores: number;
  /** When a missing registration counts as removed; undefined while the worker is registered. */
  readonly goneAtMs: number | undefined;
}

/** A worker that gets no requests until it reports, or until its registration has outlasted the time limit. */
export interface HeldWorker {
  readonly worker: Worker;
  readonly untilMs: number;
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

/**
 * The workers registered in the platform's store, including those whose registration lapsed during an outage of the
 * store. A store that was restored from an older copy shows earlier states of workers until they report again; these do
 * not replace what is known of them, and workers that were not known before are held back.
 */
export class WorkerDirectory {
  readonly #entries = new Map<UpstreamId, Entry>();
  readonly #held = new Map<UpstreamId, HeldWorker>();
  /** Registrations in the copy from which the store was restored, of workers that have left as far as this VM knows. */
  readonly #outdated = new Map<UpstreamId, HeldWorker>();
  /** Workers of the first list that have not reported since: this VM has nothing to compare them with. */
  readonly #unconfirmed = new Set<UpstreamId>();
  #hasListed = false;
  /** Results of `listUsable` by service; cleared on every change. */
  readonly #usable = new Map<ServiceName, readonly Worker[]>();
  #storeRecoveredAtMs = Number.NEGATIVE_INFINITY;
  #restores = 0;
  /** Whether the next list is the first one since a restore of the store. */
  #isRestored = false;
  /** Era of the store in which the workers were last listed; undefined before the first list. */
  listedEra: number | undefined;

  /** Records that the store is available again after an outage. */
  recordStoreRecovery(nowMs: number): void {
    this.#storeRecoveredAtMs = nowMs;
  }

  /** Records that the store was restored from an older copy: registrations received from now on may be outdated. */
  recordStoreRestore(nowMs: number): void {
    this.recordStoreRecovery(nowMs);
    this.#restores += 1;
    this.#isRestored = true;
    this.#unconfirmed.clear();
  }

  /**
   * Adds or replaces a worker.
   *
   * @param worker - the worker as it is registered
   * @returns whether it was applied; false if a later state is known from before a restore of the store
   */
  set(worker: Worker): boolean {
    const entry = this.#entries.get(worker.id);
    const isFromBeforeRestore = entry !== undefined && entry.restores < this.#restores;
    if (isFromBeforeRestore && isEarlierState(worker, entry.worker)) return false;
    this.#usable.clear();
    this.#held.delete(worker.id);
    this.#outdated.delete(worker.id);
    const known = entry?.worker;
    const isReport =
      known?.startedAtMs !== worker.startedAtMs || known.sequence !== worker.sequence;
    if (isReport) this.#unconfirmed.delete(worker.id);
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
    this.#held.delete(id);
    this.#outdated.delete(id);
    const entry = this.#entries.get(id);
    if (entry?.goneAtMs !== undefined) return;
    this.#usable.clear();
    const graceEndMs = this.#storeRecoveredAtMs + LAPSED_GRACE_MS;
    if (entry === undefined || entry.worker.isLeaving || nowMs >= graceEndMs) {
      this.#entries.delete(id);
      return;
    }
    this.#entries.set(id, { ...entry, goneAtMs: graceEndMs });
  }

  /**
   * Replaces all workers by a complete list.
   *
   * @param workers - all registered workers
   * @param nowMs - current time, in milliseconds
   * @returns the listed workers that were not applied: a later state of them is known, or they were not known before a
   *   restore of the store
   */
  replaceAll(workers: readonly Worker[], nowMs: number): readonly Worker[] {
    const listed = new Set(workers.map((worker) => worker.id));
    for (const id of [...this.#entries.keys(), ...this.#held.keys()]) {
      if (!listed.has(id)) this.remove(id, nowMs);
    }
    if (this.#isRestored) this.#holdUnknown(workers, nowMs);
    const unused = workers.filter((worker) => this.#isHeld(worker) || !this.set(worker));
    if (this.#isRestored) this.#recordOutdated(unused, nowMs);
    if (!this.#hasListed) for (const { id } of workers) this.#unconfirmed.add(id);
    this.#isRestored = false;
    this.#hasListed = true;
    return unused;
  }

  /**
   * Lists workers as the restored store lists them, which have left as far as this VM knows.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the workers, until they report, their registrations are removed or HELD_MS have passed
   */
  listOutdated(nowMs: number): readonly HeldWorker[] {
    for (const [id, { untilMs }] of this.#outdated) {
      if (untilMs <= nowMs) this.#outdated.delete(id);
    }
    return [...this.#outdated.values()];
  }

  /** @returns the workers that are known only from the first list, and have not reported since */
  listUnconfirmed(): readonly Worker[] {
    return [...this.#unconfirmed].flatMap((id) => this.find(id) ?? []);
  }

  /**
   * Holds back a worker that is known only from the first list, as it has left according to another VM. The last usable
   * worker of a service is not held back: the other VM may have missed its start.
   *
   * @param id - id of the worker
   * @param untilMs - when its registration counts unless it was removed, in milliseconds
   * @returns whether the worker is held back now
   */
  suspect(id: UpstreamId, untilMs: number): boolean {
    const worker = this.find(id);
    if (worker === undefined || !this.#unconfirmed.has(id)) return false;
    const hasOther = this.listAll().some(
      (other) => other.id !== id && other.service === worker.service && !other.isLeaving,
    );
    if (!hasOther) return false;
    this.#usable.clear();
    this.#entries.delete(id);
    this.#held.set(id, { worker, untilMs });
    return true;
  }

  /** @returns the worker, or undefined if it is not known or held back */
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
    this.#releaseHeld(nowMs);
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

  /** Holds back listed workers that are not known: they had left before the restore of the store. */
  #holdUnknown(workers: readonly Worker[], nowMs: number): void {
    for (const worker of workers) {
      if (!this.#entries.has(worker.id)) {
        this.#held.set(worker.id, { worker, untilMs: nowMs + HELD_MS });
      }
    }
  }

  /** Records which listed workers that are not used have left, as far as this VM knows. */
  #recordOutdated(unused: readonly Worker[], nowMs: number): void {
    for (const worker of unused) {
      const known = this.find(worker.id);
      const hasLeft = known?.startedAtMs !== worker.startedAtMs || known.isLeaving;
      if (hasLeft) this.#outdated.set(worker.id, { worker, untilMs: nowMs + HELD_MS });
    }
  }

  /** Whether a listed worker is held back and has not reported since. */
  #isHeld(worker: Worker): boolean {
    const held = this.#held.get(worker.id)?.worker;
    return held?.startedAtMs === worker.startedAtMs && held.sequence === worker.sequence;
  }

  #releaseHeld(nowMs: number): void {
    for (const { worker, untilMs } of [...this.#held.values()]) {
      if (untilMs <= nowMs) this.set(worker);
    }
  }
}
