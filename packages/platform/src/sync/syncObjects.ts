import { setTimeout as sleep } from 'node:timers/promises';

import { PlatformError, PlatformFailure } from '../PlatformError.js';
import {
  OUTAGE_THRESHOLD_MS,
  INITIAL_RETRY_DELAY_MS,
  MAX_INITIAL_RETRY_DELAY_MS,
  MAX_RETRY_DELAY_MS,
} from '../sync/constants.js';
import { SyncSource } from '../sync/enums.js';

import type {
  FailedSyncCall,
  FeedChange,
  FeedObject,
  ObjectFeed,
  SyncReceipt,
} from '../sync/types.js';

/** Receives the objects of a kind, their changes and outages of the store. */
export interface SyncObserver {
  /** Receives all objects of the kind, which replace those received before. */
  readonly onList: (objects: readonly FeedObject[], receipt: SyncReceipt) => void;
  readonly onChange: (change: FeedChange, receipt: SyncReceipt) => void;
  /** Called for each answer of the store, also one without changes. */
  readonly onAnswer: () => void;
  readonly onCallFailed: (call: FailedSyncCall) => void;
  /** Called once per outage: at the first failure that comes OUTAGE_THRESHOLD_MS or more after the last success. */
  readonly onUnavailable: (error: PlatformError) => void;
  /** Called with the duration of an outage when it has ended, before the objects or changes are passed on. */
  readonly onRecovered: (outageMs: number) => void;
}

/** The feed and kind of objects to follow, the observer, and intervals. */
export interface SyncOptions {
  readonly feed: ObjectFeed;
  readonly kind: string;
  readonly observer: SyncObserver;
  /**
   * How long a watch waits for a change, in milliseconds. A connection that stopped responding is detected only after
   * this time. It must be short enough that the next call can still fetch and apply a change within its time limit.
   */
  readonly watchWaitMs: number;
  /**
   * Delay between a watch that returned changes and the next, in milliseconds: changes in quick succession are fetched
   * together, because each one wakes the whole fleet.
   */
  readonly coalesceMs: number;
  readonly getNowMs: () => number;
  readonly random: () => number;
  readonly signal: AbortSignal;
}

const toPlatformError = (thrown: unknown): PlatformError =>
  thrown instanceof PlatformError
    ? thrown
    : new PlatformError(
        PlatformFailure.Invalid,
        `Synchronizing objects failed: ${String(thrown)}`,
        thrown,
      );

class ObjectSynchronizer {
  /** Version to watch from; undefined while all objects have to be listed. */
  #version: number | undefined;
  #hasListed = false;
  #lastSuccessAtMs: number;
  #isUnavailable = false;
  #failureCount = 0;
  #callStartedAtMs = 0;

  constructor(private readonly options: SyncOptions) {
    this.#lastSuccessAtMs = options.getNowMs();
  }

  async run(): Promise<void> {
    const { signal } = this.options;
    while (!signal.aborted) {
      this.#callStartedAtMs = this.options.getNowMs();
      try {
        await this.#step();
      } catch (thrown) {
        await this.#handleFailure(toPlatformError(thrown));
      }
    }
  }

  async #step(): Promise<void> {
    const { feed, kind, observer, watchWaitMs, coalesceMs } = this.options;
    if (this.#version === undefined) {
      await this.#list();
      return;
    }
    const { changes, version } = await feed.watchChanges(kind, this.#version, watchWaitMs);
    const silentMs = this.#handleSuccess();
    this.#version = version;
    const receipt: SyncReceipt = { source: SyncSource.Watch, version, silentMs };
    for (const change of changes) observer.onChange(change, receipt);
    if (changes.length > 0) await sleep(coalesceMs);
  }

  async #list(): Promise<void> {
    const { feed, kind, observer } = this.options;
    const objects: FeedObject[] = [];
    let page = await feed.listPage(kind, undefined);
    // A watch from the first page's version also returns changes made while the other pages are read.
    const { version } = page;
    objects.push(...page.objects);
    while (page.next !== undefined) {
      page = await feed.listPage(kind, page.next);
      objects.push(...page.objects);
    }
    const silentMs = this.#handleSuccess();
    this.#version = version;
    this.#hasListed = true;
    observer.onList(objects, { source: SyncSource.List, version, silentMs });
  }

  /** Records a successful call; returns the time since the previous one. */
  #handleSuccess(): number {
    const nowMs = this.options.getNowMs();
    const outageMs = nowMs - this.#lastSuccessAtMs;
    this.#lastSuccessAtMs = nowMs;
    this.#failureCount = 0;
    this.options.observer.onAnswer();
    if (this.#isUnavailable) {
      this.#isUnavailable = false;
      this.options.observer.onRecovered(outageMs);
    }
    return outageMs;
  }

  async #handleFailure(error: PlatformError): Promise<void> {
    this.options.observer.onCallFailed({
      source: this.#version === undefined ? SyncSource.List : SyncSource.Watch,
      version: this.#version,
      durationMs: this.options.getNowMs() - this.#callStartedAtMs,
      error,
    });
    // A watch that starts while the store recovers may be accepted and miss changes; a list returns the current state.
    this.#version = undefined;
    if (error.failure === PlatformFailure.Truncated) return;
    this.#failureCount += 1;
    const outageMs = this.options.getNowMs() - this.#lastSuccessAtMs;
    if (!this.#isUnavailable && outageMs >= OUTAGE_THRESHOLD_MS) {
      this.#isUnavailable = true;
      this.options.observer.onUnavailable(error);
    }
    const maxDelayMs = this.#hasListed ? MAX_RETRY_DELAY_MS : MAX_INITIAL_RETRY_DELAY_MS;
    const delayMs = Math.min(maxDelayMs, INITIAL_RETRY_DELAY_MS * 2 ** (this.#failureCount - 1));
    await sleep(delayMs * (0.5 + this.options.random() / 2));
  }
}

/**
 * Reports all objects of a kind and their changes to an observer until the signal aborts. Lists first, then watches;
 * lists again after each watch that failed.
 *
 * @param options - the feed and kind of objects to follow, the observer, and intervals
 */
export const syncObjects = (options: SyncOptions): Promise<void> =>
  new ObjectSynchronizer(options).run();
