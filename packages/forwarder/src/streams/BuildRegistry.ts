import { BuildTables } from './BuildTables.js';
import { SharedRead } from './SharedRead.js';

import type { BuildName, Logger, ServiceName } from '@sardinegrade/common';
import type { ForwarderState } from '../ForwarderState.js';
import type { TableStore } from './TableStore.js';

/** Interval at which builds are compared with the record, in milliseconds: a new build waits this long at most. */
const CHECK_INTERVAL_MS = 300;

/** Time after a failed call in which builds are not compared, in milliseconds. */
const RETRY_DELAY_MS = 2_000;

/** Shortest time between two reads of the record for requests that need it, in milliseconds. */
const READ_INTERVAL_MS = 50;

/**
 * Time without a worker of a build after which it is recorded anew before streams begin at it again, in milliseconds. Other
 * VMs count a build as left after a stream's lifetime, so they may have noticed its end this much earlier or later.
 */
const RENEWAL_ABSENCE_MS = 5_000;

/** A build of a service as it is recorded. */
export interface RecordedBuild {
  readonly service: ServiceName;
  readonly build: BuildName;
  /** Revision of the record, which differs once the build was recorded anew. */
  readonly revision: number;
}

/** All recorded builds. */
export interface BuildList {
  readonly builds: readonly RecordedBuild[];
  /** Number of times that the store has been restored from an older copy. */
  readonly era: number;
}

/** The record of builds in the platform's store. Every method rejects if the store does not answer. */
export interface BuildStore {
  readonly list: () => Promise<BuildList>;
  /** Records a build; has no effect if it is recorded. */
  readonly add: (service: ServiceName, build: BuildName) => Promise<void>;
  /** Records a build anew, under another revision, also if it was removed meanwhile. */
  readonly renew: (build: RecordedBuild) => Promise<void>;
  /** Removes a build unless it was recorded anew. */
  readonly remove: (build: RecordedBuild) => Promise<void>;
}

/** The record, the forwarder's state and the logger. */
export interface BuildRegistryOptions {
  readonly store: BuildStore;
  readonly tables: TableStore;
  readonly state: ForwarderState;
  readonly logger: Logger;
  readonly signal: AbortSignal;
}

const toKey = (service: ServiceName, build: BuildName): string => `${service} ${build}`;

/**
 * Records in the store which builds of a service may have begun streams, before the first stream begins at a build. A VM
 * that starts after a loss of all VMs then knows whether a stream can have begun at only one build.
 */
export class BuildRegistry {
  readonly #recorded = new Map<string, RecordedBuild>();
  /** Recorded builds at which streams may begin: those of a service with several builds need a table. */
  #usable: ReadonlySet<string> = new Set();
  /** When this VM has first seen no worker of a recorded build. */
  readonly #absentSinceMs = new Map<string, number>();
  /** Revisions at which this VM has seen builds leave, a stream's lifetime ago. */
  readonly #leftRevisions = new Map<string, number>();
  readonly #tables: BuildTables;
  readonly #reads: SharedRead<BuildList | undefined>;
  /** Numbers of the last read that was started, and of the newest one that was applied. */
  #startedRead = 0;
  #appliedRead = 0;
  #readEra = -1;
  #isChecking = false;
  #nextCheckAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - the record, the forwarder's state and the logger */
  constructor(private readonly options: BuildRegistryOptions) {
    const { tables, state, logger } = options;
    this.#tables = new BuildTables({ store: tables, state, logger });
    this.#reads = new SharedRead({
      perform: () => this.#read(),
      intervalMs: READ_INTERVAL_MS,
      getNowMs: state.options.getNowMs,
    });
  }

  /** Records builds of registered workers until the signal aborts. */
  start(): void {
    const { state, signal } = this.options;
    state.isBuildRecorded = (service, build) => this.#isUsable(toKey(service, build));
    state.isBuildCounted = (service, build) => this.#isCounted(service, build);
    state.fetchBuilds = (service) => this.#fetchBuilds(service);
    state.listStreamBuilds = (service, request) => this.#tables.listBuilds(service, request);
    state.fetchStreamBuild = (service, request) => this.#tables.fetchBuild(service, request);
    void this.#tables.start();
    void this.#check();
    const timer = setInterval(() => void this.#check(), CHECK_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer));
  }

  #isUsable(key: string): boolean {
    return this.#usable.has(key) && !this.#isRenewalDue(key);
  }

  /** Whether other VMs may have seen a build leave, and no longer count its record. */
  #isRenewalDue(key: string): boolean {
    const sinceMs = this.#absentSinceMs.get(key);
    if (sinceMs === undefined) return false;
    return this.options.state.options.getNowMs() - sinceMs >= RENEWAL_ABSENCE_MS;
  }

  /** A build that is not recorded is recorded at once, since a stream would begin at it. */
  #isCounted(service: ServiceName, build: BuildName): boolean {
    const key = toKey(service, build);
    const builds = [...this.#recorded.values()].filter((recorded) => recorded.service === service);
    if (builds.length === 0) return true;
    if (this.#recorded.has(key) && !this.#isRenewalDue(key)) return true;
    void this.#check();
    return false;
  }

  /** Compares the builds of registered workers with the record. */
  async #check(): Promise<void> {
    const { state, logger } = this.options;
    if (this.#isChecking || state.options.getNowMs() < this.#nextCheckAtMs) return;
    this.#isChecking = true;
    try {
      // A restored store may lack what this VM has recorded.
      if (this.#readEra !== state.getStoreEra() && (await this.#read()) === undefined) {
        this.#nextCheckAtMs = state.options.getNowMs() + RETRY_DELAY_MS;
        return;
      }
      this.#updateAbsences();
      for (const { service, build } of state.fleet.directory.listAll())
        await this.#recordIfDue(service, build);
      await this.#syncTables();
      for (const recorded of [...this.#recorded.values()]) await this.#removeIfUnused(recorded);
    } catch (error) {
      this.#nextCheckAtMs = state.options.getNowMs() + RETRY_DELAY_MS;
      logger.warn('failed to record the builds of workers', { error });
    } finally {
      this.#isChecking = false;
    }
  }

  #listRegistered(): ReadonlySet<string> {
    const workers = this.options.state.fleet.directory.listAll();
    return new Set(workers.map(({ service, build }) => toKey(service, build)));
  }

  /** Records which builds have no registered worker, and since when. */
  #updateAbsences(): void {
    const { state } = this.options;
    const registered = this.#listRegistered();
    for (const [key, { service, build, revision }] of this.#recorded) {
      if (registered.has(key)) {
        // A build that has come back stays absent until it is recorded anew.
        if (!this.#isRenewalDue(key)) this.#absentSinceMs.delete(key);
        this.#leftRevisions.delete(key);
      } else if (!this.#absentSinceMs.has(key)) {
        this.#absentSinceMs.set(key, state.options.getNowMs());
      }
      const isNoted = this.#leftRevisions.has(key);
      if (!isNoted && state.hasBuildLeft(service, build)) this.#leftRevisions.set(key, revision);
    }
  }

  /** Records a build of a registered worker, or records it anew if other VMs may have seen it leave. */
  async #recordIfDue(service: ServiceName, build: BuildName): Promise<void> {
    const { store, logger } = this.options;
    const key = toKey(service, build);
    if (this.#recorded.has(key)) {
      if (!this.#isRenewalDue(key)) return;
      // Another VM may have done so.
      await this.#read();
      if (!this.#isRenewalDue(key)) return;
    }
    const recorded = this.#recorded.get(key);
    await (recorded === undefined ? store.add(service, build) : store.renew(recorded));
    this.#absentSinceMs.delete(key);
    logger.info('build recorded', { service, inputs: { build } });
    await this.#read();
  }

  /** Streams begin at a further build of a service only once all VMs can compute which of them do. */
  async #syncTables(): Promise<void> {
    const { state } = this.options;
    const recorded = [...this.#recorded.values()].sort(
      (left, right) => left.revision - right.revision,
    );
    await this.#tables.sync(recorded, state.isBuildRecorded);
    const counts = new Map<ServiceName, number>();
    for (const { service } of recorded) counts.set(service, (counts.get(service) ?? 0) + 1);
    const usable = recorded
      .filter(({ service }) => counts.get(service) === 1 || this.#tables.hasTable(service))
      .map(({ service, build }) => toKey(service, build));
    const kept = [...this.#usable].filter((key) => this.#recorded.has(key));
    this.#usable = new Set([...usable, ...kept]);
  }

  /**
   * Lists the builds of a service at which a stream that can still be resumed may have begun; undefined if the store does not
   * answer.
   */
  async #fetchBuilds(service: ServiceName): Promise<readonly BuildName[] | undefined> {
    const { state } = this.options;
    const list = await this.#reads.read();
    if (list === undefined) return undefined;
    const builds = new Set(state.listBuilds(service));
    for (const recorded of list.builds) {
      if (recorded.service === service && !this.#isUnused(recorded)) builds.add(recorded.build);
    }
    return [...builds];
  }

  /** Reads the record; undefined if the store does not answer. */
  async #read(): Promise<BuildList | undefined> {
    const { store, logger } = this.options;
    this.#startedRead += 1;
    const read = this.#startedRead;
    try {
      const list = await store.list();
      this.#apply(list, read);
      return list;
    } catch (error) {
      logger.warn('failed to read the recorded builds', { error });
      return undefined;
    }
  }

  #apply({ builds, era }: BuildList, read: number): void {
    // Answers may overtake each other.
    if (read < this.#appliedRead) return;
    this.#appliedRead = read;
    const earlier = new Map(this.#recorded);
    const isRestored = era !== this.#readEra;
    const registered = this.#listRegistered();
    this.#recorded.clear();
    for (const recorded of builds) {
      const { service, build, revision } = recorded;
      const key = toKey(service, build);
      this.#recorded.set(key, recorded);
      if (!isRestored && earlier.get(key)?.revision === revision) continue;
      // A VM has recorded it for workers of which this one may not know.
      this.#leftRevisions.delete(key);
      if (registered.has(key)) this.#absentSinceMs.delete(key);
      this.options.state.recordBuild(service, build);
    }
    this.#readEra = era;
  }

  /**
   * Whether no stream of a build can still be resumed: this VM has seen it leave, a stream's lifetime ago, and it has not
   * been recorded anew since, as before streams begin at it again.
   */
  #isUnused({ service, build, revision }: RecordedBuild): boolean {
    return this.#leftRevisions.get(toKey(service, build)) === revision;
  }

  async #removeIfUnused(recorded: RecordedBuild): Promise<void> {
    const { service, build } = recorded;
    const { state, store, logger } = this.options;
    // One VM on average removes it, since all notice at the same time that it is unused.
    const vmCount = state.sharedLoad.countLive(state.options.getNowMs()) + 1;
    if (this.#tables.hasBuild(service, build)) return;
    if (!this.#isUnused(recorded) || state.options.random() * vmCount >= 1) return;
    await store.remove(recorded);
    this.#recorded.delete(toKey(service, build));
    logger.info('recorded build removed', { service, inputs: { build } });
  }
}
