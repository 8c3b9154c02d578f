import { setTimeout as sleep } from 'node:timers/promises';

import { PlatformError, PlatformFailure } from '../PlatformError.js';
import {
  OUTAGE_THRESHOLD_MS,
  INITIAL_RETRY_DELAY_MS,
  MAX_LIST_RETRY_DELAY_MS,
  MAX_WATCH_RETRY_DELAY_MS,
} from '../sync/constants.js';

import type { FeedChange, FeedObject, ObjectFeed } from '../sync/types.js';

/** Receives the objects of a kind, their changes and outages of the store. */
export interface SyncObserver {
  /** Receives all objects of the kind, which replace those received before. */
  readonly onList: (objects: readonly FeedObject[]) => void;
  readonly onChange: (change: FeedChange) => void;
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
  #lastSuccessAtMs: number;
  #isUnavailable = false;
  #failureCount = 0;

  constructor(private readonly options: SyncOptions) {
    this.#lastSuccessAtMs = options.getNowMs();
  }

  async run(): Promise<void> {
    const { signal } = this.options;
    while (!signal.aborted) {
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
    this.#handleSuccess();
    this.#version = version;
    for (const change of changes) observer.onChange(change);
    if (changes.length > 0) await sleep(coalesceMs);
  }

  async #list(): Promise<void> {
    const { feed, kind, observer } = this.options;
    const objects: FeedObject[] = [];
    let afterName: string | undefined;
    let firstPageVersion: number | undefined;
    do {
      const page = await feed.listPage(kind, afterName);
      objects.push(...page.objects);
      // A watch from the first page's version also returns changes made while the other pages were read.
      firstPageVersion ??= page.version;
      afterName = page.next;
    } while (afterName !== undefined);
    this.#handleSuccess();
    this.#version = firstPageVersion;
    observer.onList(objects);
  }

  #handleSuccess(): void {
    const nowMs = this.options.getNowMs();
    const outageMs = nowMs - this.#lastSuccessAtMs;
    this.#lastSuccessAtMs = nowMs;
    this.#failureCount = 0;
    if (!this.#isUnavailable) return;
    this.#isUnavailable = false;
    this.options.observer.onRecovered(outageMs);
  }

  async #handleFailure(error: PlatformError): Promise<void> {
    if (error.failure === PlatformFailure.Truncated) {
      this.#version = undefined;
      return;
    }
    this.#failureCount += 1;
    const outageMs = this.options.getNowMs() - this.#lastSuccessAtMs;
    if (!this.#isUnavailable && outageMs >= OUTAGE_THRESHOLD_MS) {
      this.#isUnavailable = true;
      this.options.observer.onUnavailable(error);
    }
    const maxDelayMs =
      this.#version === undefined ? MAX_LIST_RETRY_DELAY_MS : MAX_WATCH_RETRY_DELAY_MS;
    const delayMs = Math.min(maxDelayMs, INITIAL_RETRY_DELAY_MS * 2 ** (this.#failureCount - 1));
    await sleep(delayMs * (0.5 + this.options.random() / 2));
  }
}

/**
 * Reports all objects of a kind and their changes to an observer until the signal aborts. Lists first, then watches;
 * lists again if the history of changes is no longer available.
 *
 * @param options - the feed and kind of objects to follow, the observer, and intervals
 */
export const syncObjects = (options: SyncOptions): Promise<void> =>
  new ObjectSynchronizer(options).run();
