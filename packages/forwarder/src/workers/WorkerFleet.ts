import { hashText } from '@sardinegrade/common';
import {
  EngineRanking,
  EngineTracker,
  HELD_MS,
  WorkerDirectory,
  WorkerHealth,
} from '@sardinegrade/routing';

import { ConnectionPool } from '../connections/index.js';
import { hashInstance } from './hashInstance.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { WorkerDialer } from '../links/index.js';
import type {
  EngineLoad,
  EngineLoads,
  OutdatedReport,
  PromptPart,
  RoutedService,
  Worker,
} from '@sardinegrade/routing';

/** A worker and the state that this VM keeps of it. */
export interface WorkerRecord {
  readonly worker: Worker;
  /** Hash of the worker's id, which identifies it in load messages. */
  readonly hash: number;
  /** Hash of the id of this instance of the worker. */
  readonly instance: number;
  readonly pool: ConnectionPool;
  readonly health: WorkerHealth;
  readonly tracker: EngineTracker;
}

/** The workers that may run a request. */
export interface CandidateSet {
  readonly records: readonly WorkerRecord[];
  readonly ranking: EngineRanking;
}

/** @returns a set of workers with their ranking, which is costly to compute */
export const toCandidateSet = (records: readonly WorkerRecord[]): CandidateSet => ({
  records,
  ranking: new EngineRanking(records.map(({ worker }) => worker.id)),
});

/**
 * Capacity of an engine's KV cache, in tokens, for records created without one, for example from a load message: that of
 * the smallest site.
 */
const DEFAULT_CACHE_TOKENS = 600_000;

/** The known workers with their connections, health and load. */
export class WorkerFleet {
  readonly directory = new WorkerDirectory();
  readonly #records = new Map<UpstreamId, WorkerRecord>();
  /** Ids of the records by their hash. Load messages look up workers by hash several hundred times a second. */
  readonly #idsByHash = new Map<number, UpstreamId>();
  readonly #candidates = new WeakMap<readonly Worker[], CandidateSet>();

  /** @param dialer - opens connections to workers */
  constructor(private readonly dialer: WorkerDialer) {}

  /**
   * Gets the record of a worker. A restarted worker gets a new record, because nothing in the record of the previous
   * instance applies to it.
   *
   * @param worker - the registered worker
   * @param cacheTokens - capacity of its KV cache, in tokens; undefined for plain services or if unknown
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
      instance: hashInstance(worker),
      pool: new ConnectionPool(worker.address, this.dialer),
      health: new WorkerHealth(),
      tracker: new EngineTracker(cacheTokens ?? DEFAULT_CACHE_TOKENS),
    };
    this.#records.set(worker.id, record);
    this.#idsByHash.set(record.hash, worker.id);
    return record;
  }

  /**
   * Lists the workers of a service that may receive new requests.
   *
   * @param service - the service
   * @param nowMs - current time, in milliseconds
   * @returns their records and ranking; the same object as long as the workers do not change
   */
  listCandidates(service: RoutedService, nowMs: number): CandidateSet {
    const usable = this.directory.listUsable(service.name, nowMs);
    const existing = this.#candidates.get(usable);
    if (existing !== undefined) return existing;
    const records = usable.map((worker) => this.getRecord(worker, service.engine?.cacheTokens));
    const set = toCandidateSet(records);
    this.#candidates.set(usable, set);
    return set;
  }

  /** @returns the record of the worker whose id has this hash, or undefined if none is registered */
  findByHash(hash: number): WorkerRecord | undefined {
    const existing = this.#idsByHash.get(hash);
    const worker =
      existing === undefined
        ? this.directory.listAll().find(({ id }) => hashText(id) === hash)
        : this.directory.find(existing);
    return worker && this.getRecord(worker, undefined);
  }

  /** @returns hashes of the ids of all registered worker instances */
  listInstances(): ReadonlySet<number> {
    return new Set(this.directory.listAll().map(hashInstance));
  }

  /**
   * Lists worker instances that the store lists since it was restored, although they have left as far as this VM knows.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the instances, for VMs that have started since the restore
   */
  listOutdated(nowMs: number): readonly OutdatedReport[] {
    return this.directory.listOutdated(nowMs).map(({ worker, untilMs }) => ({
      instance: hashInstance(worker),
      remainingMs: untilMs - nowMs,
    }));
  }

  /**
   * Holds back workers of which this VM knows only the restored store's list, and another VM knows more.
   *
   * @param reports - the report of the other VM
   * @param era - era of the store according to the other VM
   * @param nowMs - current time, in milliseconds
   * @returns the workers that are held back now and were not before
   */
  applyOutdated(reports: readonly OutdatedReport[], era: number, nowMs: number): readonly Worker[] {
    const { directory } = this;
    // What was listed before the restore is not from the copy.
    if (reports.length === 0 || directory.listedEra !== era) return [];
    const remainingMs = new Map(reports.map((report) => [report.instance, report.remainingMs]));
    return directory.listUnconfirmed().filter((worker) => {
      const heldMs = remainingMs.get(hashInstance(worker));
      return (
        heldMs !== undefined && directory.suspect(worker.id, nowMs + Math.min(HELD_MS, heldMs))
      );
    });
  }

  /**
   * Lists the engines that run requests of this VM, and the workers of plain services whose load other VMs need.
   *
   * @param nowMs - current time, in milliseconds
   * @param isNeeded - returns whether other VMs need the load of a worker of a plain service
   * @param getSpeed - returns the learned speed of an engine
   * @returns this VM's load by the hash of the worker's id
   */
  listLoads(
    nowMs: number,
    isNeeded: (record: WorkerRecord) => boolean,
    getSpeed: (record: WorkerRecord) => number,
  ): EngineLoads {
    const loads = new Map<number, EngineLoad>();
    for (const record of this.#records.values()) {
      const { hash, tracker, pool } = record;
      const plainRuns = pool.busyCount > 0 && isNeeded(record) ? pool.busyCount : 0;
      const runs = tracker.runCount > 0 ? tracker.runCount : plainRuns;
      if (runs === 0) continue;
      const backlogTokens = tracker.estimateBacklogTokens(nowMs, getSpeed(record));
      loads.set(hash, { backlogTokens, runs });
    }
    return loads;
  }

  /** @returns the prompt parts that each engine probably has in its prefix cache; engines without any are left out */
  listCachedParts(): readonly { readonly id: UpstreamId; readonly parts: readonly PromptPart[] }[] {
    return [...this.#records].flatMap(([id, { tracker }]) => {
      const parts = tracker.prefixCache.list();
      return parts.length === 0 ? [] : [{ id, parts }];
    });
  }

  /** Closes idle connections and forgets failures: both belong to links that this VM has lost. */
  resetLinks(): void {
    for (const { pool, health } of this.#records.values()) {
      pool.closeIdle();
      health.recordLostLinks();
    }
  }

  /** Closes connections that have been idle for too long, and removes the records of workers that are gone. */
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
