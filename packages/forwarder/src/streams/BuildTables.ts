import {
  BuildHistory,
  normalizeStreamId,
  pickBuild,
  pickCommonBuild,
  shouldReplaceTable,
  STREAM_LIFETIME_MS,
} from '@sardinegrade/routing';

import { isClaimedByAll } from './isClaimedByAll.js';
import { SharedRead } from './SharedRead.js';
import { StreamRecord } from './StreamRecord.js';

import type { BuildName, Logger, RequestId, ServiceName, VmId } from '@sardinegrade/common';
import type { BuildShare, BuildTable, StreamOriginReport } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { RecordedStream, RecordedTable, TableList, TableStore, VmList } from './TableStore.js';

/** Interval between reads while a service has several builds, in milliseconds; other VMs may have changed a table. */
const POLL_INTERVAL_MS = 5_000;

/** Shortest time between two reads for requests that need them, in milliseconds. */
const READ_INTERVAL_MS = 50;

/**
 * Time in which a new table is not replaced, in milliseconds: until then a VM may not know of the workers that have led to
 * it.
 */
const MIN_TABLE_AGE_MS = 2_000;

/** Number of VMs that remove an earlier table, on average: with one, none would in a third of the polls. */
const REMOVING_VMS = 3;

/** Maximum number of streams whose build is kept: requests that wait are placed again on every change. */
const MAX_KEPT_PICKS = 2_000;

/** A recorded build; those of one service are in the order in which they were recorded. */
interface ServiceBuild {
  readonly service: ServiceName;
  readonly build: BuildName;
}

/** A table, and since when something holds for it. */
interface TableAge {
  readonly sequence: number;
  readonly sinceMs: number;
}

/** What the store tells of streams that no VM knows. */
interface Evidence {
  readonly list: TableList;
  readonly vms: VmList;
  readonly streams: readonly RecordedStream[];
}

/** Lists the services with several recorded builds. */
const listSharedServices = (recorded: readonly ServiceBuild[]): readonly ServiceName[] => {
  const services = recorded.map(({ service }) => service);
  return [...new Set(services.filter((service, index) => services.indexOf(service) !== index))];
};

const isOnlyBuild =
  (build: BuildName) =>
  ({ shares }: BuildTable): boolean =>
    shares.length === 1 && shares[0]?.build === build;

/** The record of tables, the forwarder's state and the logger. */
export interface BuildTablesOptions {
  readonly store: TableStore;
  readonly state: ForwarderState;
  readonly logger: Logger;
}

/**
 * Places new streams by tables in the store while a service has several builds, so that any VM can compute from the id of
 * the first request at which build a stream began. A table stays recorded until every VM has claimed a newer one and the
 * streams that began before have ended; the tables of a service are binding only if every VM has a claim.
 */
export class BuildTables {
  readonly #startedAtMs: number;
  /** Builds at which this VM may have begun streams without a table. */
  readonly #freeBuilds = new BuildHistory();
  /** When this VM has first seen that all claim the newest table, by service. */
  readonly #settled = new Map<ServiceName, TableAge>();
  #newest: ReadonlyMap<ServiceName, RecordedTable> = new Map();
  readonly #picks = new WeakMap<RecordedTable, Map<RequestId, readonly BuildName[]>>();
  /** When this VM has first read the newest table, by service. */
  readonly #adopted = new Map<ServiceName, TableAge>();
  #list: TableList | undefined;
  #reading: Promise<TableList> | undefined;
  /** Numbers of the last read that was started, and of the newest one that was applied. */
  #startedRead = 0;
  #appliedRead = 0;
  readonly #evidence: SharedRead<Evidence>;
  #polledAtMs = Number.NEGATIVE_INFINITY;
  /** Whether no earlier process of this VM can have begun streams. */
  #isNewVm = false;
  /** VMs as of the last poll. */
  #vms: readonly VmId[] = [];
  readonly #streams: StreamRecord;

  /** @param options - the record, the forwarder's state and the logger */
  constructor(private readonly options: BuildTablesOptions) {
    this.#startedAtMs = options.state.options.getNowMs();
    this.#streams = new StreamRecord(options.store, options.state);
    this.#evidence = new SharedRead({
      perform: () => this.#readEvidence(),
      intervalMs: READ_INTERVAL_MS,
      getNowMs: options.state.options.getNowMs,
    });
  }

  /** Finds out whether this VM is new; called before its process registers. */
  async start(): Promise<void> {
    const { store, logger } = this.options;
    try {
      const { vms, era } = await store.listVms();
      // A restored store may lack the entry of an earlier process.
      this.#isNewVm = era === 0 && !vms.includes(store.vm);
    } catch (error) {
      logger.warn('failed to read the VM list', { error });
    }
  }

  /** @returns whether a service has a table */
  hasTable(service: ServiceName): boolean {
    return this.#newest.has(service);
  }

  /** @returns whether streams may begin at a build by one of the recorded tables */
  hasBuild(service: ServiceName, build: BuildName): boolean {
    return this.#listTables(service).some(({ shares }) =>
      shares.some((share) => share.build === build),
    );
  }

  /**
   * Lists the builds at which a new stream may begin: one or none.
   *
   * @param service - service of the stream
   * @param request - id of its request; without one, no caller can name the stream
   * @returns the builds; undefined if there is no table
   */
  listBuilds(
    service: ServiceName,
    request: RequestId | undefined,
  ): readonly BuildName[] | undefined {
    if (request === undefined) return undefined;
    const table = this.#newest.get(service);
    if (table !== undefined) return this.#pickBuilds(table, request);
    return this.#isClosed(service) ? [] : undefined;
  }

  #pickBuilds(table: RecordedTable, request: RequestId): readonly BuildName[] {
    const picks = this.#picks.get(table) ?? new Map<RequestId, readonly BuildName[]>();
    const key = normalizeStreamId(request);
    const existing = picks.get(key);
    if (existing !== undefined) return existing;
    if (picks.size >= MAX_KEPT_PICKS) picks.clear();
    const build = pickBuild(table, request);
    const builds = build === undefined ? [] : [build];
    this.#picks.set(table, picks.set(key, builds));
    return builds;
  }

  /**
   * Computes from the record at which build a stream began.
   *
   * @param service - service of the stream
   * @param request - id of the request that began it
   * @returns the build; undefined if it is not certain
   */
  async fetchBuild(service: ServiceName, request: RequestId): Promise<BuildName | undefined> {
    try {
      const { list, vms, streams } = await this.#evidence.read();
      const recordedId = normalizeStreamId(request);
      const isNamed = (stream: RecordedStream): boolean =>
        stream.request === recordedId && stream.service === service;
      const [build, ...others] = new Set(streams.filter(isNamed).map((stream) => stream.build));
      if (build !== undefined) return others.length === 0 ? build : undefined;
      if (list.era !== vms.era || !isClaimedByAll(list, vms.vms, service)) return undefined;
      const tables = list.tables.filter((table) => table.service === service);
      return pickCommonBuild(tables, request);
    } catch (error) {
      this.options.logger.warn('failed to read the tables of builds', { error });
      return undefined;
    }
  }

  /**
   * Compares the tables with the registered workers. Rejects if the store does not answer.
   *
   * @param recorded - the recorded builds
   * @param isUsable - whether streams without a table may begin at a build
   */
  async sync(
    recorded: readonly ServiceBuild[],
    isUsable: (service: ServiceName, build: BuildName) => boolean,
  ): Promise<void> {
    this.#recordFreeBuilds(isUsable);
    const shared = listSharedServices(recorded);
    const isOutdated = this.#list?.era !== this.options.state.getStoreEra();
    const isReplaced = shared.some(
      (service) => this.#shouldReplace(service) || !this.#hasWorkers(service),
    );
    const isPolled = shared.length > 0 && this.#getNowMs() - this.#polledAtMs >= POLL_INTERVAL_MS;
    if (isOutdated || isReplaced || isPolled) await this.#read();
    if (shared.length === 0) return;
    for (const service of shared) await this.#replaceTable(service, recorded);
    await this.#claim(shared);
    await this.#streams.write(this.#listUncertainStreams(shared));
    if (!isPolled) return;
    this.#polledAtMs = this.#getNowMs();
    await this.#removeUnused(shared);
  }

  /** Lists the streams of this VM whose origin the tables do not tell. */
  #listUncertainStreams(services: readonly ServiceName[]): readonly RecordedStream[] {
    const { state, store } = this.options;
    const list = this.#list;
    const bound = services.filter(
      (service) => list && isClaimedByAll(list, [store.vm, ...this.#vms], service),
    );
    const isUncertain = ({ service, build, request }: StreamOriginReport): boolean =>
      services.includes(service) &&
      !(bound.includes(service) && pickCommonBuild(this.#listTables(service), request) === build);
    return state.streamOrigins
      .listOwn(this.#getNowMs())
      .filter(isUncertain)
      .map(({ service, build, request }) => ({ vm: store.vm, service, build, request }));
  }

  #getNowMs(): number {
    return this.options.state.options.getNowMs();
  }

  /** Whether no stream may begin: an earlier process of this VM may have claimed a table, and the record was not read yet. */
  #isClosed(service: ServiceName): boolean {
    return this.#list === undefined && this.#countWorkers(service).size > 1;
  }

  /** Decides with such a probability that some VMs on average do what all VMs notice at the same time. */
  #isChosen(vmCount = 1): boolean {
    const { sharedLoad, options } = this.options.state;
    return options.random() * (sharedLoad.countLive(this.#getNowMs()) + 1) < vmCount;
  }

  #listTables(service: ServiceName): readonly RecordedTable[] {
    return (this.#list?.tables ?? []).filter((table) => table.service === service);
  }

  /** Counts the workers that new streams may begin at, by build. */
  #countWorkers(service: ServiceName): ReadonlyMap<BuildName, number> {
    const counts = new Map<BuildName, number>();
    for (const worker of this.options.state.fleet.directory.listAll()) {
      if (worker.service !== service || worker.isLeaving) continue;
      counts.set(worker.build, (counts.get(worker.build) ?? 0) + 1);
    }
    return counts;
  }

  #listWantedShares(service: ServiceName): readonly BuildShare[] {
    return [...this.#countWorkers(service)].map(([build, weight]) => ({ build, weight }));
  }

  #shouldReplace(service: ServiceName): boolean {
    const table = this.#newest.get(service);
    if (table === undefined) return true;
    const adoptedAtMs = this.#adopted.get(service)?.sinceMs ?? 0;
    if (this.#getNowMs() - adoptedAtMs < MIN_TABLE_AGE_MS) return false;
    return shouldReplaceTable(table, this.#listWantedShares(service));
  }

  /** Whether streams can begin by the newest table. The VM that records the first tables of a service writes two. */
  #hasWorkers(service: ServiceName): boolean {
    const counts = this.#countWorkers(service);
    const shares = this.#newest.get(service)?.shares ?? [];
    return counts.size === 0 || shares.some(({ build }) => counts.has(build));
  }

  /** Records the builds at which requests may have been placed since the last call without a table. */
  #recordFreeBuilds(isUsable: (service: ServiceName, build: BuildName) => boolean): void {
    const workers = this.options.state.fleet.directory.listAll();
    const usable = workers.filter(({ service, build }) => isUsable(service, build));
    const services = new Set(usable.map(({ service }) => service));
    for (const worker of workers) {
      const { service, build } = worker;
      if (this.#newest.has(service)) continue;
      // Without a recorded build, all workers are used.
      if (services.has(service) && !isUsable(service, build)) continue;
      if (this.#isClosed(service)) continue;
      this.#freeBuilds.record(service, build, this.#getNowMs());
    }
  }

  /** Reads the record for the checks, which share a read at the same time. */
  async #read(): Promise<void> {
    this.#reading ??= this.#performRead().finally(() => (this.#reading = undefined));
    await this.#reading;
  }

  /** Reads all that tells where streams began. */
  async #readEvidence(): Promise<Evidence> {
    const { store } = this.options;
    const [vms, streams, list] = await Promise.all([
      store.listVms(),
      store.listStreams(),
      this.#performRead(),
    ]);
    return { list, vms, streams };
  }

  async #performRead(): Promise<TableList> {
    this.#startedRead += 1;
    const read = this.#startedRead;
    const list = await this.options.store.list();
    // Answers may overtake each other.
    if (read < this.#appliedRead) return list;
    this.#appliedRead = read;
    this.#apply(list);
    return list;
  }

  #apply(list: TableList): void {
    if (this.#list !== undefined && list.era !== this.#list.era) this.#recordLostTables(this.#list);
    this.#list = list;
    const newest = new Map<ServiceName, RecordedTable>();
    for (const table of list.tables) {
      const known = newest.get(table.service);
      if (known === undefined || known.sequence < table.sequence) newest.set(table.service, table);
    }
    this.#newest = newest;
    for (const [service, { sequence }] of newest) {
      if (this.#adopted.get(service)?.sequence === sequence) continue;
      this.#adopted.set(service, { sequence, sinceMs: this.#getNowMs() });
    }
  }

  /** A restored store may lack the tables by which streams have begun. */
  #recordLostTables({ tables }: TableList): void {
    for (const { service, shares } of tables) {
      for (const { build } of shares) this.#freeBuilds.record(service, build, this.#getNowMs());
    }
  }

  /** Records a table if there is none, or the shares of the builds have changed. */
  async #replaceTable(service: ServiceName, recorded: readonly ServiceBuild[]): Promise<void> {
    const { store, logger } = this.options;
    const shares = this.#listWantedShares(service);
    if (shares.length === 0 || !this.#shouldReplace(service) || !this.#isChosen()) return;
    let sequence = this.#newest.get(service)?.sequence;
    // Without a table, streams have begun at the only build that was recorded.
    const [earlier] = this.#freeBuilds.list(service, this.#getNowMs());
    const build = earlier ?? recorded.find((first) => first.service === service)?.build;
    if (sequence === undefined && build !== undefined) {
      sequence = 1;
      await store.create({ service, sequence, shares: [{ build, weight: 1 }] });
    }
    sequence = (sequence ?? 0) + 1;
    await store.create({ service, sequence, shares });
    logger.info('table of builds recorded', {
      service,
      inputs: { sequence, shares: shares.map(({ build, weight }) => `${build}=${weight}`).join() },
    });
    await this.#read();
  }

  /** Claims the newest tables; withdraws what does not hold. */
  async #claim(services: readonly ServiceName[]): Promise<void> {
    const { store } = this.options;
    const list = this.#list;
    if (list === undefined) return;
    const { era } = list;
    const own = list.claims.find((claim) => claim.vm === store.vm && claim.era === era);
    const claimed = own?.sequences ?? new Map<ServiceName, number>();
    const sequences = new Map(claimed);
    for (const service of services) {
      const table = this.#newest.get(service);
      if (table === undefined) continue;
      if (this.#canClaim(service, claimed.has(service))) sequences.set(service, table.sequence);
      else sequences.delete(service);
    }
    const isUnchanged =
      sequences.size === claimed.size &&
      [...sequences].every(([service, sequence]) => claimed.get(service) === sequence);
    if (isUnchanged) return;
    const claim = { vm: store.vm, era, sequences };
    await store.claim(claim);
    const others = list.claims.filter(({ vm }) => vm !== store.vm);
    if (this.#list === list) {
      this.#list = { ...list, claims: [...others, claim] };
    }
  }

  /** Whether all streams of this VM that may still be resumed have begun as the recorded tables say. */
  #canClaim(service: ServiceName, wasClaimed: boolean): boolean {
    const nowMs = this.#getNowMs();
    // An earlier process of this VM that had no claim may have begun streams anywhere.
    const isEarlierOver = this.#isNewVm || nowMs - this.#startedAtMs > STREAM_LIFETIME_MS;
    if (!wasClaimed && !isEarlierOver) return false;
    const [build, ...others] = this.#freeBuilds.list(service, nowMs);
    if (build === undefined) return true;
    return others.length === 0 && this.#listTables(service).some(isOnlyBuild(build));
  }

  /** Removes tables by which no stream can have begun that may still be resumed. */
  async #removeUnused(services: readonly ServiceName[]): Promise<void> {
    const { vms, era } = await this.options.store.listVmsStale();
    const list = this.#list;
    if (list?.era !== era) return;
    this.#vms = vms;
    for (const service of services) await this.#removeTables(list, vms, service);
  }

  async #removeTables(list: TableList, vms: readonly VmId[], service: ServiceName): Promise<void> {
    const { store, logger } = this.options;
    const sequence = this.#newest.get(service)?.sequence ?? 0;
    const older = this.#listTables(service).filter((table) => table.sequence < sequence);
    if (older.length === 0 || !isClaimedByAll(list, vms, service, sequence)) {
      this.#settled.delete(service);
      return;
    }
    const nowMs = this.#getNowMs();
    const settled = this.#settled.get(service);
    if (settled?.sequence !== sequence) {
      this.#settled.set(service, { sequence, sinceMs: nowMs });
      return;
    }
    if (nowMs - settled.sinceMs <= STREAM_LIFETIME_MS || !this.#isChosen(REMOVING_VMS)) return;
    for (const table of older) await store.remove(table);
    logger.info('tables of builds removed', { service, inputs: { before: sequence } });
  }
}
