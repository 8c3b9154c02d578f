import { registerWorker } from '@sardinegrade/users-platform/testing';

import { WORKER_SLOTS } from './buildConfiguration.js';

import type { StoreStandIn } from '@sardinegrade/users-platform/testing';
import type { SoakWorker } from './SoakWorker.js';

/** What a worker has last written into the store. */
interface WorkerEntry {
  readonly worker: SoakWorker;
  readonly state: string;
  readonly seq: number;
}

/** The entries of the workers in the store. */
export class WorkerEntries {
  readonly #entries = new Map<string, WorkerEntry>();

  /**
   * @param store - the store that holds the entries
   * @param service - the service of the workers
   */
  constructor(
    private readonly store: StoreStandIn,
    private readonly service: string,
  ) {}

  /** Writes the entry of a worker. */
  write(worker: SoakWorker, state: string): void {
    const { id, proxy, version, startedAtMs: born } = worker;
    const { service } = this;
    const seq = (this.#entries.get(id)?.seq ?? 0) + 1;
    this.#entries.set(id, { worker, state, seq });
    const { address } = proxy;
    const slots = WORKER_SLOTS;
    registerWorker(this.store, { id, address, service, slots, seq, version, born }, state);
  }

  /** Has a worker write nothing more; its entry stays. */
  clear({ id }: SoakWorker): void {
    this.#entries.delete(id);
  }

  /** Removes the entry of a worker. */
  remove(worker: SoakWorker): void {
    this.clear(worker);
    this.store.remove('servers', worker.id);
  }

  /** Has all workers write their entries again. */
  renew(): void {
    for (const { worker, state } of [...this.#entries.values()]) this.write(worker, state);
  }

  /** Removes the entries that no worker writes any more. */
  removeSilent(): void {
    const silent = this.store.listNames('servers').filter((id) => !this.#entries.has(id));
    for (const id of silent) this.store.remove('servers', id);
  }
}
