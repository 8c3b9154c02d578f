import { hashText } from '@sardinegrade/common';
import { EngineRanking, EngineTracker, WorkerDirectory, WorkerHealth } from '@sardinegrade/routing';

import { ConnectionPool } from '../connections/index.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { EngineLoad, PromptPart, RoutedService, Worker } from '@sardinegrade/routing';

/** A worker with all that this VM keeps of it. */
export interface WorkerRecord {
  readonly worker: Worker;
  /** Hash of the worker's id, by which other VMs name it. */
  readonly hash: number;
  readonly pool: ConnectionPool;
  readonly health: WorkerHealth;
  readonly tracker: EngineTracker;
}

/** The workers among which a request is placed. */
export interface CandidateSet {
  readonly records: readonly WorkerRecord[];
  readonly ranking: EngineRanking;
}

/** What this VM has at one engine. */
export interface NamedLoad {
  readonly id: UpstreamId;
  readonly load: EngineLoad;
}

/** Size of an engine's memory until the configuration names it, in tokens: that of the smallest site. */
const DEFAULT_CACHE_TOKENS = 600_000;

/** The workers that this VM knows, with connections, health and accounts. */
export class WorkerFleet {
  readonly directory = new WorkerDirectory();
  readonly #records = new Map<UpstreamId, WorkerRecord>();
  /** Ids of the records by their hash: other VMs name workers so, some hundred times a second. */
  readonly #idsByHash = new Map<number, UpstreamId>();
  readonly #candidates = new WeakMap<readonly Worker[], CandidateSet>();

  /**
   * Gets what is kept of a worker. A worker that was started anew is a new one: nothing of its
   * earlier life holds for it.
   *
   * @param worker - the worker as it is registered
   * @param cacheTokens - size of its memory, where it is an engine
   * @returns its record
   */
  getRecord(worker: Worker, cacheTokens: number | undefined): WorkerRecord {
    const existing = this.#records.get(worker.id);
    if (
      existing?.worker.startedAtMs === worker.startedAtMs &&
      existing.worker.address === worker.address
    ) {
      return existing;
    }
    existing?.pool.closeIdle();
    const record: WorkerRecord = {
      worker,
      hash: hashText(worker.id),
      pool: new ConnectionPool(worker.address),
      health: new WorkerHealth(),
      tracker: new EngineTracker(cacheTokens ?? DEFAULT_CACHE_TOKENS),
    };
    this.#records.set(worker.id, record);
    this.#idsByHash.set(record.hash, worker.id);
    return record;
  }

  /**
   * Lists the workers of a service that may get new work.
   *
   * @param service - the service
   * @param nowMs - the present
   * @returns their records and orders, the same as long as the workers are
   */
  listCandidates(service: RoutedService, nowMs: number): CandidateSet {
    const usable = this.directory.listUsable(service.name, nowMs);
    const existing = this.#candidates.get(usable);
    if (existing !== undefined) return existing;
    const records = usable.map((worker) => this.getRecord(worker, service.engine?.cacheTokens));
    const set: CandidateSet = {
      records,
      ranking: new EngineRanking(records.map(({ worker }) => worker.id)),
    };
    this.#candidates.set(usable, set);
    return set;
  }

  /** @returns what is kept of the worker whose id has a hash, or undefined where none is registered */
  findByHash(hash: number): WorkerRecord | undefined {
    const existing = this.#idsByHash.get(hash);
    const worker =
      existing === undefined
        ? this.directory.listAll().find(({ id }) => hashText(id) === hash)
        : this.directory.find(existing);
    return worker && this.getRecord(worker, undefined);
  }

  /**
   * Lists the engines at which this VM has work.
   *
   * @param nowMs - the present
   * @returns each with this VM's load
   */
  listLoads(nowMs: number): readonly NamedLoad[] {
    const loads: NamedLoad[] = [];
    for (const [id, { tracker }] of this.#records) {
      if (tracker.runCount === 0) continue;
      const backlogTokens = tracker.estimateBacklogTokens(nowMs);
      loads.push({ id, load: { backlogTokens, runs: tracker.runCount } });
    }
    return loads;
  }

  /** @returns what is kept of each worker that is an engine with a known memory */
  listCachedParts(): readonly { readonly id: UpstreamId; readonly parts: readonly PromptPart[] }[] {
    return [...this.#records].flatMap(([id, { tracker }]) => {
      const parts = tracker.prefixCache.list();
      return parts.length === 0 ? [] : [{ id, parts }];
    });
  }

  /** Closes connections that are idle for long, and forgets workers that are gone. */
  sweep(nowMs: number): void {
    for (const [id, record] of this.#records) {
      record.pool.sweep(nowMs);
      if (this.directory.find(id) !== undefined || record.pool.busyCount > 0) continue;
      record.pool.closeIdle();
      this.#records.delete(id);
      this.#idsByHash.delete(record.hash);
    }
  }
}
