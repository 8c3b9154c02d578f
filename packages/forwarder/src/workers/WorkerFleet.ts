import { EngineAccount, WorkerDirectory, WorkerHealth } from '@sardinegrade/routing';

import { ChannelPool } from '../channels/index.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { Worker } from '@sardinegrade/routing';

/** A worker with all that this VM keeps of it. */
export interface WorkerRecord {
  readonly worker: Worker;
  readonly pool: ChannelPool;
  readonly health: WorkerHealth;
  readonly account: EngineAccount;
}

/** Size of an engine's memory until the configuration names it, in tokens: that of the smallest site. */
const DEFAULT_CACHE_TOKENS = 600_000;

/** The workers that this VM knows, with connections, health and accounts. */
export class WorkerFleet {
  readonly directory = new WorkerDirectory();
  readonly #records = new Map<UpstreamId, WorkerRecord>();

  /**
   * Gets what is kept of a worker. A worker that was started anew is a new one: nothing of its
   * earlier life holds for it.
   *
   * @param worker - the worker as it is registered
   * @param cacheTokens - size of its memory, where it is an engine
   * @returns its record
   */
  getRecord(worker: Worker, cacheTokens: number | undefined): WorkerRecord {
    const known = this.#records.get(worker.id);
    if (
      known?.worker.startedAtMs === worker.startedAtMs &&
      known.worker.address === worker.address
    ) {
      return known;
    }
    known?.pool.closeIdle();
    const record: WorkerRecord = {
      worker,
      pool: new ChannelPool(worker.address),
      health: new WorkerHealth(),
      account: new EngineAccount(cacheTokens ?? DEFAULT_CACHE_TOKENS),
    };
    this.#records.set(worker.id, record);
    return record;
  }

  /** Closes connections that are idle for long, and forgets workers that are gone. */
  sweep(nowMs: number): void {
    for (const [id, record] of this.#records) {
      record.pool.sweep(nowMs);
      if (this.directory.find(id) !== undefined || record.pool.busyCount > 0) continue;
      record.pool.closeIdle();
      this.#records.delete(id);
    }
  }
}
