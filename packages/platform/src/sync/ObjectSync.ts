import { PlatformError, PlatformFailure } from '../PlatformError.js';
import {
  ERA_SPREAD_MS,
  INITIAL_RETRY_DELAY_MS,
  ISOLATION_CHECK_INTERVAL_MS,
  MAX_INITIAL_RETRY_DELAY_MS,
  MAX_RETRY_DELAY_MS,
  MISSED_CHANGE_MARGIN_MS,
  OUTAGE_THRESHOLD_MS,
  PEER_CONTACT_TIMEOUT_MS,
} from './constants.js';
import { compareVersions, INITIAL_VERSION, selectLaterVersion } from './compareVersions.js';
import { SyncSource } from './enums.js';
import { PeerFollower } from './PeerFollower.js';
import { toSyncError } from './toSyncError.js';

import type { FollowOptions } from './PeerFollower.js';
import type { StoreEra } from './StoreEra.js';
import type {
  FailedSyncCall,
  FeedChange,
  FeedDelta,
  FeedObject,
  FeedSnapshot,
  ObjectFeed,
  PeerWatch,
  StoreVersion,
  SyncPeer,
  SyncReceipt,
} from './types.js';

/** Receives the objects of a kind, their changes and outages of the store. */
export interface SyncObserver {
  /** Receives all objects of the kind, which replace those received before. */
  readonly onList: (objects: readonly FeedObject[], receipt: SyncReceipt) => void;
  readonly onChange: (change: FeedChange, receipt: SyncReceipt) => void;
  /**
   * Called for each answer of the store, also one without changes, and with the age of an answer to a peer that is followed,
   * in milliseconds.
   */
  readonly onAnswer: (ageMs: number) => void;
  readonly onCallFailed: (call: FailedSyncCall) => void;
  /** Called when a peer has applied a newer change, and the own watch has not returned it in time. */
  readonly onChangeMissed: (peerVersion: StoreVersion, ownVersion: StoreVersion) => void;
  /** Called once per outage: at the first failure that comes OUTAGE_THRESHOLD_MS or more after the last success. */
  readonly onUnavailable: (error: PlatformError) => void;
  /** Called with the duration of an outage when it has ended, before the objects or changes are passed on. */
  readonly onRecovered: (outageMs: number) => void;
}

/** The feed and kind of objects to follow, the observer, and intervals. */
export interface SyncOptions {
  readonly feed: ObjectFeed;
  /** The highest era that this VM knows of, from any call or peer. */
  readonly era: StoreEra;
  readonly kind: string;
  readonly observer: SyncObserver;
  /**
   * How long a watch waits for a change while no peer reports, in milliseconds. A connection that stopped responding is
   * then detected only after this time. It must be short enough that the next call can still fetch and apply a change
   * within its time limit.
   */
  readonly isolatedWaitMs: number;
  /** Returns how long a watch may wait while peers report, in milliseconds. */
  readonly getSharedWaitMs: () => number;
  /**
   * Delay between a watch that returned changes and the next, in milliseconds: changes in quick succession are fetched
   * together, because each one wakes the whole fleet.
   */
  readonly coalesceMs: number;
  /** Whether a watch of other VMs may replace the own one; undefined if not. */
  readonly following?: FollowOptions;
  readonly getNowMs: () => number;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

const computeChangeVersion = (era: number, objects: readonly FeedObject[]): StoreVersion => ({
  era,
  revision: objects.reduce((highest, { revision }) => Math.max(highest, revision), 0),
});

const createRestoredError = (failure: PlatformFailure, moment: string): PlatformError =>
  new PlatformError(failure, `The store was restored from an older copy ${moment}.`);

/**
 * Keeps up with the objects of a kind by list and watch. Silence of a watch proves nothing, so there are three further
 * signs of a change: each failed watch is followed by a list, a watch ends after a bounded time, and peers tell which
 * changes they have applied.
 *
 * In a large fleet a few VMs watch for the others, which fetch the changes from them. A VM that hears of no such watch, or
 * misses a change, calls the store itself.
 *
 * A store that is restored from an older copy gives out revisions again. Nothing goes on across a restore: neither a watch
 * nor a list of several pages, and a version of an earlier era is older than any version of a later one.
 */
export class ObjectSync {
  /** Version to watch from; undefined while all objects have to be listed. */
  #watchVersion: StoreVersion | undefined;
  readonly #objects = new Map<string, FeedObject>();
  #hasObjects = false;
  /** Version of the newest change that has been applied. */
  #changeVersion = INITIAL_VERSION;
  /** All changes up to this version have been applied. Only answers with objects raise it, not silence. */
  #appliedVersion = INITIAL_VERSION;
  /** Whether the objects are listed next, although a peer could be followed. */
  #mustList = false;
  /** Version of the last answer with objects: a delta from it returns all later changes. */
  #stateVersion = INITIAL_VERSION;
  readonly #follower: PeerFollower | undefined;
  /** The peer with the newest change, while that change has not been applied. */
  #newerPeer: SyncPeer | undefined;
  /** Whether a change that a peer has applied did not arrive in time. */
  #isBehind = false;
  /** Reports up to this version are ignored: a list of the store that was requested later does not contain it. */
  #refutedVersion = INITIAL_VERSION;
  #missedChangeTimer: NodeJS.Timeout | undefined;
  #peerReportedAtMs = Number.NEGATIVE_INFINITY;
  #interruption = new AbortController();
  #lastSuccessAtMs: number;
  #isUnavailable = false;
  #failureCount = 0;
  #callStartedAtMs = 0;
  #source = SyncSource.List;
  #isFetchingFromPeer = false;

  /** @param options - the feed and kind of objects to follow, the observer, and intervals */
  constructor(private readonly options: SyncOptions) {
    this.#lastSuccessAtMs = options.getNowMs();
    const { following, getNowMs } = options;
    if (following !== undefined) this.#follower = new PeerFollower(following, getNowMs);
    options.era.addSpreadListener(({ era }) => this.#listIfOutdated(era), options.random);
  }

  /**
   * Version of the newest change that has been applied, or reported by a peer and not refuted. Its revision is 0 before the
   * first change in the current era of the store.
   */
  get knownVersion(): StoreVersion {
    const eraStart: StoreVersion = { era: this.options.era.current, revision: 0 };
    const ownVersion = selectLaterVersion(this.#changeVersion, eraStart);
    return selectLaterVersion(ownVersion, this.#newerPeer?.changeVersion ?? ownVersion);
  }

  /** All objects as they are known now; undefined before the first list. */
  get snapshot(): FeedSnapshot | undefined {
    if (!this.#hasObjects) return undefined;
    return { version: this.#appliedVersion, objects: [...this.#objects.values()] };
  }

  /** The watch that this VM keeps for others; undefined if it keeps none. */
  get ownWatch(): PeerWatch | undefined {
    const { following, getNowMs } = this.options;
    if (!this.#hasObjects || following?.isWatcher() !== true) return undefined;
    return { version: this.#stateVersion, answerAgeMs: getNowMs() - this.#lastSuccessAtMs };
  }

  /**
   * Builds the changes since a version.
   *
   * @param since - version of another VM
   * @returns the changes; undefined if this VM has none, or the version is not from the history that it knows
   */
  buildDelta(since: StoreVersion): FeedDelta | undefined {
    if (!this.#hasObjects || since.era !== this.#stateVersion.era) return undefined;
    const objects = [...this.#objects.values()];
    return {
      version: this.#stateVersion,
      changeVersion: this.#changeVersion,
      // The revision of an object that cannot be read is not known.
      changed: objects.filter(
        ({ revision, fault }) => revision > since.revision || fault !== undefined,
      ),
      names: objects.map(({ name }) => name),
    };
  }

  /** Reports objects and changes to the observer until the signal aborts. */
  async run(): Promise<void> {
    const { signal } = this.options;
    while (!signal.aborted) {
      this.#interruption = new AbortController();
      try {
        await this.#step();
      } catch (thrown) {
        // A watch that was ended because a change was missed has not failed; a list follows.
        const isInterrupted = this.#source !== SyncSource.List && this.#interruption.signal.aborted;
        if (!isInterrupted) await this.#handleFailure(toSyncError(thrown));
      }
    }
    clearTimeout(this.#missedChangeTimer);
  }

  /**
   * Compares the newest change that a peer has applied with the own state. If the change is missing and does not arrive
   * in time, the objects are listed, and fetched from the peer if the store does not answer.
   */
  addPeerReport(peer: SyncPeer): void {
    this.#peerReportedAtMs = this.options.getNowMs();
    const isFollowed = this.#follower?.addReport(peer, this.options.era.current) ?? false;
    if (isFollowed && this.#hasObjects) this.#handleSuccess(peer.watch?.answerAgeMs);
    const ownVersion = selectLaterVersion(this.#appliedVersion, this.#refutedVersion);
    const knownVersion = selectLaterVersion(
      ownVersion,
      this.#newerPeer?.changeVersion ?? ownVersion,
    );
    if (compareVersions(peer.changeVersion, knownVersion) > 0) this.#newerPeer = peer;
    if (this.#newerPeer === undefined || this.#missedChangeTimer !== undefined) return;
    const delayMs = this.options.coalesceMs + MISSED_CHANGE_MARGIN_MS;
    // An answer that arrived while the process was blocked is read before the check.
    const onDelayEnd = (): unknown => setImmediate(() => this.#listIfChangeMissed());
    this.#missedChangeTimer = setTimeout(onDelayEnd, delayMs).unref();
  }

  #listIfChangeMissed(): void {
    this.#missedChangeTimer = undefined;
    if (this.#newerPeer === undefined) return;
    this.#isBehind = true;
    this.options.observer.onChangeMissed(this.#newerPeer.changeVersion, this.#appliedVersion);
    this.#listNext();
  }

  /** Ends the current watch or pause; the objects are listed next. */
  #listNext(): void {
    this.#watchVersion = undefined;
    this.#mustList = true;
    this.#interruption.abort();
  }

  /** Lists the objects of a restored store unless they have been listed. */
  #listIfOutdated(era: number): void {
    if (this.#appliedVersion.era < era && !this.options.signal.aborted) this.#listNext();
  }

  async #step(): Promise<void> {
    this.#callStartedAtMs = this.options.getNowMs();
    const follower = this.#hasObjects && !this.#mustList ? this.#follower : undefined;
    if (follower?.isFollowing === true) await this.#follow(follower);
    else if (this.#watchVersion === undefined) await this.#list();
    else await this.#watch(this.#watchVersion);
  }

  /** Waits until a peer that is followed has a newer version, and applies its changes. */
  async #follow(follower: PeerFollower): Promise<void> {
    this.#source = SyncSource.Peer;
    const { signal } = this.#interruption;
    const leader = await follower.waitForNewer(this.#stateVersion, signal);
    if (signal.aborted) return;
    if (leader?.fetchDelta === undefined) {
      // All that followed the same peer notice its silence at the same time.
      await this.#pause(this.options.random() * ERA_SPREAD_MS);
      this.#watchVersion = undefined;
      this.#mustList = true;
      return;
    }
    this.#callStartedAtMs = this.options.getNowMs();
    const delta = await leader.fetchDelta(this.#stateVersion);
    this.#applyDelta(delta, signal);
  }

  #applyDelta({ version, changeVersion, changed, names }: FeedDelta, signal: AbortSignal): void {
    // The objects are listed next, and may have been replaced meanwhile.
    if (signal.aborted) return;
    this.#checkEra(version);
    if (compareVersions(version, this.#stateVersion) <= 0)
      throw new PlatformError(PlatformFailure.Invalid, 'The peer has no newer version.');
    const silentMs = this.options.getNowMs() - this.#lastSuccessAtMs;
    const receipt: SyncReceipt = { source: SyncSource.Peer, version, silentMs };
    const remaining = new Set(names);
    const removed = [...this.#objects.values()].filter(({ name }) => !remaining.has(name));
    this.#applyChanges(
      [
        ...removed.map((object): FeedChange => ({ object, isRemoved: true })),
        ...changed.map((object): FeedChange => ({ object, isRemoved: false })),
      ],
      receipt,
    );
    this.#stateVersion = version;
    this.#watchVersion = version;
    this.#recordApplied(changeVersion, changeVersion);
  }

  #applyChanges(changes: readonly FeedChange[], receipt: SyncReceipt): void {
    for (const change of changes) {
      if (change.isRemoved) this.#objects.delete(change.object.name);
      else this.#objects.set(change.object.name, change.object);
      this.options.observer.onChange(change, receipt);
    }
  }

  async #watch(fromVersion: StoreVersion): Promise<void> {
    const { feed, kind } = this.options;
    this.#source = SyncSource.Watch;
    const { signal } = this.#interruption;
    const isolationTimer = setInterval(
      () => this.#listIfIsolated(),
      ISOLATION_CHECK_INTERVAL_MS,
    ).unref();
    const { changes, version } = await feed
      .watchChanges(kind, fromVersion.revision, this.#chooseWatchWaitMs(), signal)
      .finally(() => clearInterval(isolationTimer));
    // What a peer had has replaced the objects meanwhile, and may be newer.
    if (signal.aborted) return;
    const silentMs = this.#handleSuccess();
    if (version.era > fromVersion.era)
      throw createRestoredError(PlatformFailure.Truncated, 'during the watch');
    this.#checkEra(version);
    this.#applyChanges(changes, { source: SyncSource.Watch, version, silentMs });
    this.#watchVersion = version;
    if (changes.length === 0) return;
    this.#stateVersion = version;
    const changed = changes.map(({ object }) => object);
    const changeVersion = computeChangeVersion(version.era, changed);
    this.#recordApplied(changeVersion, changeVersion);
    await this.#pause(this.#chooseCoalesceMs());
  }

  #chooseCoalesceMs(): number {
    const { coalesceMs, following } = this.options;
    return following?.isWatcher() === true ? following.watchCoalesceMs : coalesceMs;
  }

  /** The waits of a fleet's watches end at different times, so that some VM soon notices a change that all missed. */
  #chooseWatchWaitMs(): number {
    const { isolatedWaitMs, getSharedWaitMs, random, following } = this.options;
    if (following?.isWatcher() === true) return following.watchWaitMs;
    return Math.max(isolatedWaitMs, Math.round(getSharedWaitMs() * (0.5 + random() / 2)));
  }

  #listIfIsolated(): void {
    const nowMs = this.options.getNowMs();
    if (nowMs - this.#peerReportedAtMs <= PEER_CONTACT_TIMEOUT_MS) return;
    if (nowMs - this.#callStartedAtMs < this.options.isolatedWaitMs) return;
    this.#listNext();
  }

  async #list(): Promise<void> {
    const { feed, kind } = this.options;
    this.#source = SyncSource.List;
    const peerBefore = this.#newerPeer;
    const appliedBefore = this.#appliedVersion;
    const objects: FeedObject[] = [];
    let page = await feed.listPage(kind, undefined);
    // A watch from the first page's version also returns changes made while the other pages are read.
    const { version } = page;
    objects.push(...page.objects);
    while (page.next !== undefined) {
      page = await feed.listPage(kind, page.next);
      if (page.version.era !== version.era)
        throw createRestoredError(PlatformFailure.Unavailable, 'between two pages');
      objects.push(...page.objects);
    }
    this.#checkEra(version);
    const silentMs = this.#handleSuccess();
    const hasPeerReplaced = compareVersions(this.#appliedVersion, appliedBefore) > 0;
    // The objects of a peer have arrived meanwhile and are newer: the next list contains them.
    this.#mustList = false;
    if (hasPeerReplaced && compareVersions(version, this.#appliedVersion) < 0) return;
    this.#replaceObjects({ version, objects }, { source: SyncSource.List, version, silentMs });
    this.#watchVersion = version;
    if (peerBefore === undefined) return;
    if (compareVersions(peerBefore.changeVersion, version) <= 0) return;
    this.#refutedVersion = selectLaterVersion(this.#refutedVersion, peerBefore.changeVersion);
    if (this.#newerPeer === peerBefore) this.#clearPeer();
  }

  /** Checks that an answer does not come from before a restore that this VM knows of. */
  #checkEra({ era }: StoreVersion): void {
    const currentEra = this.options.era.current;
    if (era >= currentEra) return;
    throw new PlatformError(
      PlatformFailure.Invalid,
      `The answer belongs to era ${era} of the store, which is in era ${currentEra}.`,
    );
  }

  #replaceObjects({ version, objects }: FeedSnapshot, receipt: SyncReceipt): void {
    this.#objects.clear();
    for (const object of objects) this.#objects.set(object.name, object);
    this.options.observer.onList(objects, receipt);
    this.#hasObjects = true;
    this.#stateVersion = version;
    this.#recordApplied(version, computeChangeVersion(version.era, objects));
  }

  #recordApplied(appliedVersion: StoreVersion, changeVersion: StoreVersion): void {
    this.#appliedVersion = selectLaterVersion(this.#appliedVersion, appliedVersion);
    this.#changeVersion = selectLaterVersion(this.#changeVersion, changeVersion);
    if (this.#newerPeer === undefined) return;
    if (compareVersions(this.#newerPeer.changeVersion, this.#appliedVersion) <= 0)
      this.#clearPeer();
  }

  #clearPeer(): void {
    this.#newerPeer = undefined;
    this.#isBehind = false;
  }

  /** Records an answer of the store to this VM, or to a peer that is followed; returns the time since the previous one. */
  #handleSuccess(ageMs = 0): number {
    const answeredAtMs = this.options.getNowMs() - ageMs;
    const outageMs = answeredAtMs - this.#lastSuccessAtMs;
    // A peer may tell of an answer that is older than one of the own calls.
    if (outageMs < 0) return 0;
    this.#lastSuccessAtMs = answeredAtMs;
    this.#failureCount = 0;
    this.options.observer.onAnswer(ageMs);
    if (this.#isUnavailable) {
      this.#isUnavailable = false;
      this.options.observer.onRecovered(outageMs);
    }
    return outageMs;
  }

  #reportFailure(source: SyncSource, startedAtMs: number, error: PlatformError): void {
    this.options.observer.onCallFailed({
      source,
      version: this.#watchVersion,
      durationMs: this.options.getNowMs() - startedAtMs,
      error,
    });
  }

  async #handleFailure(error: PlatformError): Promise<void> {
    this.#reportFailure(this.#source, this.#callStartedAtMs, error);
    // A watch that starts while the store recovers may be accepted and miss changes; a list returns the current state.
    this.#watchVersion = undefined;
    if (this.#source === SyncSource.Peer) this.#mustList = true;
    if (error.failure === PlatformFailure.Truncated) return;
    this.#failureCount += 1;
    const outageMs = this.options.getNowMs() - this.#lastSuccessAtMs;
    if (!this.#isUnavailable && outageMs >= OUTAGE_THRESHOLD_MS) {
      this.#isUnavailable = true;
      this.options.observer.onUnavailable(error);
    }
    // The store is called again meanwhile: the peer may have no power.
    void this.#fetchFromPeer();
    const maxDelayMs = this.#hasObjects ? MAX_RETRY_DELAY_MS : MAX_INITIAL_RETRY_DELAY_MS;
    const delayMs = Math.min(maxDelayMs, INITIAL_RETRY_DELAY_MS * 2 ** (this.#failureCount - 1));
    await this.#pause(delayMs * (0.5 + this.options.random() / 2));
  }

  /** Replaces the objects by those of a peer that has a newer change: the store may reject this VM only. */
  async #fetchFromPeer(): Promise<void> {
    const peer = this.#newerPeer;
    if (peer === undefined || !this.#isBehind || this.#isFetchingFromPeer) return;
    this.#isFetchingFromPeer = true;
    const startedAtMs = this.options.getNowMs();
    try {
      const snapshot = await peer.fetchSnapshot();
      if (this.options.signal.aborted) return;
      if (compareVersions(snapshot.version, this.#appliedVersion) <= 0) {
        if (this.#newerPeer === peer) this.#clearPeer();
        return;
      }
      const silentMs = this.options.getNowMs() - this.#lastSuccessAtMs;
      const { version } = snapshot;
      this.#replaceObjects(snapshot, { source: SyncSource.Peer, version, silentMs });
      this.#listNext();
    } catch (thrown) {
      this.#reportFailure(SyncSource.Peer, startedAtMs, toSyncError(thrown));
      // Another peer may respond: the next report of any peer names a new one.
      if (this.#newerPeer === peer) this.#clearPeer();
    } finally {
      this.#isFetchingFromPeer = false;
    }
  }

  /** Waits; an interruption ends the wait. */
  #pause(durationMs: number): Promise<void> {
    const { signal } = this.#interruption;
    if (signal.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, durationMs);
      signal.addEventListener(
        'abort',
        () => {
          clearTimeout(timer);
          resolve();
        },
        { once: true },
      );
    });
  }
}
