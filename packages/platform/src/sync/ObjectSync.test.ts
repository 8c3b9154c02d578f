import assert from 'node:assert/strict';
import { test } from 'node:test';

import { PlatformError, PlatformFailure } from '../PlatformError.js';
import {
  ISOLATION_CHECK_INTERVAL_MS,
  ERA_SPREAD_MS,
  MISSED_CHANGE_MARGIN_MS,
  PEER_CONTACT_TIMEOUT_MS,
} from './constants.js';
import { EraSource } from './enums.js';
import { ObjectSync } from './ObjectSync.js';
import { StoreEra } from './StoreEra.js';

import type { TestContext } from 'node:test';
import type {
  FeedChanges,
  FeedObject,
  FeedPage,
  FeedSnapshot,
  StoreVersion,
  SyncReceipt,
} from './types.js';

const COALESCE_MS = 50;

const LONG_WAIT_MS = 60_000;

/** Time in which a change that a peer reports has to be listed, in milliseconds, with a margin for a busy machine. */
const REPORT_LIMIT_MS = COALESCE_MS + MISSED_CHANGE_MARGIN_MS + 1_000;

const buildObject = (revision: number): FeedObject => ({
  name: 'main',
  value: { revision },
  revision,
  isDeleting: false,
});

const toVersion = (revision: number, era = 0): StoreVersion => ({ era, revision });

/** A store whose answers the test gives, and the synchronizer that calls it. */
class TestFeed {
  lists = 0;
  missed = 0;
  readonly receipts: SyncReceipt[] = [];
  page: FeedPage = { objects: [buildObject(1)], next: undefined, version: toVersion(1) };
  secondPage: FeedPage = this.page;
  isRejecting = false;
  /** Answers the lists in place of the pages, if it is set. */
  slowPage: Promise<FeedPage> | undefined;
  readonly era = new StoreEra();
  readonly sync: ObjectSync;
  readonly #abortController = new AbortController();
  #answerWatch: (changes: FeedChanges) => void = () => undefined;

  constructor(context: TestContext, isolatedWaitMs: number) {
    this.sync = new ObjectSync({
      era: this.era,
      feed: {
        listPage: (_kind, after) => {
          this.lists += 1;
          if (this.isRejecting)
            throw new PlatformError(PlatformFailure.Unavailable, 'rejected by the test');
          if (this.slowPage !== undefined) return this.slowPage;
          const page = after === undefined ? this.page : this.secondPage;
          this.era.observe(page.version.era, EraSource.Store);
          return Promise.resolve(page);
        },
        watchChanges: (_kind, _version, _waitMs, signal) =>
          new Promise((resolve, reject) => {
            this.#answerWatch = resolve;
            signal.addEventListener('abort', () => reject(new Error('aborted')));
          }),
      },
      kind: 'config',
      observer: {
        onList: (_objects, receipt) => this.receipts.push(receipt),
        onChange: (_change, receipt) => this.receipts.push(receipt),
        onAnswer: () => undefined,
        onCallFailed: () => undefined,
        onChangeMissed: () => (this.missed += 1),
        onUnavailable: () => undefined,
        onRecovered: () => undefined,
      },
      isolatedWaitMs,
      getSharedWaitMs: () => LONG_WAIT_MS,
      coalesceMs: COALESCE_MS,
      getNowMs: () => performance.now(),
      random: () => 0.5,
      signal: this.#abortController.signal,
    });
    void this.sync.run();
    context.after(() => {
      this.#abortController.abort();
      this.answerWatch({ changes: [], version: toVersion(0) });
    });
  }

  answerWatch(changes: FeedChanges): void {
    this.#answerWatch(changes);
  }

  report(
    revision: number,
    fetchSnapshot = (): Promise<FeedSnapshot> => Promise.reject(new Error('no snapshot')),
    era = 0,
  ): void {
    this.sync.addPeerReport({ changeVersion: toVersion(revision, era), fetchSnapshot });
  }
}

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

const startFeed = async (
  context: TestContext,
  isolatedWaitMs = LONG_WAIT_MS,
): Promise<TestFeed> => {
  const feed = new TestFeed(context, isolatedWaitMs);
  await sleep(10);
  assert.equal(feed.lists, 1);
  return feed;
};

test('a change that the own watch returns soon after a peer reported it is not listed', async (context) => {
  const feed = await startFeed(context);
  feed.report(5);
  feed.answerWatch({
    changes: [{ object: buildObject(5), isRemoved: false }],
    version: toVersion(7),
  });
  await sleep(REPORT_LIMIT_MS);
  assert.deepEqual([feed.lists, feed.missed, feed.sync.knownVersion.revision], [1, 0, 5]);
});

test('an empty answer of a watch does not count as proof that a reported change was applied', async (context) => {
  const feed = await startFeed(context);
  feed.answerWatch({ changes: [], version: toVersion(9) });
  feed.page = { objects: [buildObject(5)], next: undefined, version: toVersion(9) };
  feed.report(5);
  await sleep(REPORT_LIMIT_MS);
  assert.deepEqual([feed.lists, feed.missed, feed.sync.knownVersion.revision], [2, 1, 5]);
});

test('a reported version that a later list of the store does not reach is listed once', async (context) => {
  const feed = await startFeed(context);
  for (let count = 0; count < 3; count += 1) {
    feed.report(1_000);
    await sleep(REPORT_LIMIT_MS);
  }
  assert.deepEqual([feed.lists, feed.missed], [2, 1]);
});

test('the snapshot of a peer is used only where the store does not answer, and only if it is newer', async (context) => {
  const feed = await startFeed(context);
  feed.isRejecting = true;
  feed.report(5, () => Promise.resolve({ version: toVersion(1), objects: [buildObject(1)] }));
  await sleep(REPORT_LIMIT_MS);
  assert.deepEqual(feed.sync.snapshot?.version, toVersion(1));
  feed.report(6, () => Promise.resolve({ version: toVersion(6), objects: [buildObject(6)] }));
  await sleep(REPORT_LIMIT_MS);
  assert.equal(feed.receipts.at(-1)?.source, 'peer');
  assert.deepEqual(feed.sync.snapshot, { version: toVersion(6), objects: [buildObject(6)] });
});

test('a watch lasts longer than the wait of an isolated VM only while peers report', async (context) => {
  const isolatedWaitMs = 300;
  const limitMs = PEER_CONTACT_TIMEOUT_MS + 2 * ISOLATION_CHECK_INTERVAL_MS + isolatedWaitMs;
  const feed = await startFeed(context, isolatedWaitMs);
  const reports = setInterval(() => feed.report(1), 50);
  await sleep(2 * limitMs);
  const listsInContact = feed.lists;
  clearInterval(reports);
  await sleep(limitMs);
  assert.equal(listsInContact, 1);
  assert.ok(feed.lists > listsInContact);
});

/** Time in which the objects are listed after a rise of the era, in milliseconds, with a margin for a busy machine. */
const RISE_LIMIT_MS = ERA_SPREAD_MS + 700;

test('changes that a watch from the lost history returns are not applied; the objects are listed', async (context) => {
  const feed = await startFeed(context);
  feed.page = { objects: [buildObject(4)], next: undefined, version: toVersion(4, 1) };
  feed.answerWatch({
    changes: [{ object: buildObject(3), isRemoved: false }],
    version: toVersion(3, 1),
  });
  await sleep(RISE_LIMIT_MS);
  assert.deepEqual(feed.sync.snapshot, { version: toVersion(4, 1), objects: [buildObject(4)] });
  assert.deepEqual([feed.lists, feed.receipts.at(-1)?.source], [2, 'list']);
});

test('pages of one list that come from two histories are not joined', async (context) => {
  const feed = await startFeed(context);
  feed.page = { objects: [buildObject(8)], next: 'main', version: toVersion(8) };
  feed.secondPage = { objects: [buildObject(9)], next: undefined, version: toVersion(2, 1) };
  feed.report(8);
  await sleep(REPORT_LIMIT_MS);
  assert.deepEqual(feed.sync.snapshot, { version: toVersion(1), objects: [buildObject(1)] });
  feed.page = { objects: [buildObject(2)], next: undefined, version: toVersion(2, 1) };
  await sleep(REPORT_LIMIT_MS);
  assert.deepEqual(feed.sync.snapshot, { version: toVersion(2, 1), objects: [buildObject(2)] });
});

test('a watch ends when another call or a peer shows that the store was restored', async (context) => {
  const feed = await startFeed(context);
  feed.page = { objects: [buildObject(1)], next: undefined, version: toVersion(1, 2) };
  feed.era.observe(2, EraSource.Peer);
  assert.deepEqual(feed.sync.knownVersion, toVersion(0, 2));
  await sleep(RISE_LIMIT_MS);
  assert.deepEqual([feed.lists, feed.sync.knownVersion], [2, toVersion(1, 2)]);
});

test('neither a late answer nor a snapshot of the lost history replaces the restored state', async (context) => {
  const feed = await startFeed(context);
  feed.era.observe(1, EraSource.Peer);
  feed.page = { objects: [buildObject(9)], next: undefined, version: toVersion(9) };
  await sleep(RISE_LIMIT_MS);
  assert.deepEqual(feed.sync.snapshot?.version, toVersion(1));
  feed.page = { objects: [buildObject(2)], next: undefined, version: toVersion(2, 1) };
  await sleep(RISE_LIMIT_MS);
  feed.isRejecting = true;
  feed.report(3, () => Promise.resolve({ version: toVersion(9), objects: [buildObject(9)] }), 1);
  await sleep(REPORT_LIMIT_MS);
  assert.deepEqual(feed.sync.snapshot, { version: toVersion(2, 1), objects: [buildObject(2)] });
});

// Guards against an old configuration that is kept for seconds: the store was not called while a peer without power was asked.
test('a peer that does not respond does not hold up the next call to the store', async (context) => {
  const feed = await startFeed(context);
  feed.isRejecting = true;
  let fetches = 0;
  const fetchSnapshot = (): Promise<FeedSnapshot> => {
    fetches += 1;
    return new Promise(() => undefined);
  };
  feed.report(5, fetchSnapshot);
  await sleep(REPORT_LIMIT_MS);
  feed.isRejecting = false;
  feed.page = { objects: [buildObject(5)], next: undefined, version: toVersion(5) };
  await sleep(REPORT_LIMIT_MS);
  assert.equal(fetches, 1);
  assert.deepEqual(feed.sync.snapshot, { version: toVersion(5), objects: [buildObject(5)] });
});

// Guards against a configuration that goes back: a list that was slower than a peer's snapshot would replace newer objects.
test('a list that was answered before a newer snapshot of a peer does not replace it', async (context) => {
  const feed = await startFeed(context);
  feed.isRejecting = true;
  let answerFetch: (snapshot: FeedSnapshot) => void = () => undefined;
  feed.report(6, () => new Promise((resolve) => (answerFetch = resolve)));
  await sleep(REPORT_LIMIT_MS);
  feed.isRejecting = false;
  let answerList: (page: FeedPage) => void = () => undefined;
  feed.slowPage = new Promise((resolve) => (answerList = resolve));
  await sleep(REPORT_LIMIT_MS);
  answerFetch({ version: toVersion(6), objects: [buildObject(6)] });
  await sleep(1);
  feed.slowPage = undefined;
  feed.page = { objects: [buildObject(7)], next: undefined, version: toVersion(7) };
  answerList({ objects: [buildObject(4)], next: undefined, version: toVersion(4) });
  await sleep(REPORT_LIMIT_MS);
  const versions = feed.receipts.map(({ version }) => version.revision);
  assert.deepEqual(versions, [1, 6, 7]);
  assert.deepEqual(feed.sync.snapshot?.version, toVersion(7));
});
