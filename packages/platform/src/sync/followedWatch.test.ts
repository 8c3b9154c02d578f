import assert from 'node:assert/strict';
import { test } from 'node:test';

import { PlatformError, PlatformFailure } from '../PlatformError.js';
import { ERA_SPREAD_MS, MISSED_CHANGE_MARGIN_MS } from './constants.js';
import { EraSource, SyncSource } from './enums.js';
import { ObjectSync } from './ObjectSync.js';
import { StoreEra } from './StoreEra.js';

import type { TestContext } from 'node:test';
import type { FeedDelta, FeedObject, StoreVersion, SyncPeer } from './types.js';

const COALESCE_MS = 50;
const TRUST_MS = 400;
const REPORT_INTERVAL_MS = 50;

/** Time in which a VM calls the store after the last report of its peer, in milliseconds, with a margin for a busy machine. */
const LAPSE_LIMIT_MS = TRUST_MS + ERA_SPREAD_MS + 300;

const toVersion = (revision: number, era = 0): StoreVersion => ({ era, revision });

const buildObject = (name: string, revision: number): FeedObject => ({
  name,
  value: { revision },
  revision,
  isDeleting: false,
});

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

/** A store, a relay that watches it, and a VM that hears of the relay. */
class FollowedFeed {
  /** Calls of the VM to the store, in order. */
  readonly calls: SyncSource[] = [];
  /** Versions from which the VM has fetched changes. */
  readonly fetches: number[] = [];
  readonly era = new StoreEra();
  readonly sync: ObjectSync;
  objects: readonly FeedObject[] = [buildObject('a', 1), buildObject('b', 2)];
  version = toVersion(2);
  isFollower = true;
  isStoreDown = false;
  isRelayBroken = false;
  answerAgeMs = 0;
  isReporting = true;
  readonly failures: SyncSource[] = [];
  readonly #relay: FollowedFeed | undefined;
  readonly #abortController = new AbortController();

  constructor(context: TestContext, relay?: FollowedFeed) {
    this.#relay = relay;
    this.sync = new ObjectSync({
      era: this.era,
      feed: {
        listPage: () => {
          this.calls.push(SyncSource.List);
          const store = relay ?? this;
          if (this.isStoreDown)
            throw new PlatformError(PlatformFailure.Unavailable, 'rejected by the test');
          return Promise.resolve({
            objects: store.objects,
            next: undefined,
            version: store.version,
          });
        },
        watchChanges: (_kind, _version, _waitMs, signal) => {
          this.calls.push(SyncSource.Watch);
          return new Promise((_resolve, reject) => {
            signal.addEventListener('abort', () => reject(new Error('aborted')));
          });
        },
      },
      kind: 'servers',
      observer: {
        onList: () => undefined,
        onChange: () => undefined,
        onAnswer: () => undefined,
        onCallFailed: ({ source }) => this.failures.push(source),
        onChangeMissed: () => undefined,
        onUnavailable: () => undefined,
        onRecovered: () => undefined,
      },
      isolatedWaitMs: 60_000,
      getSharedWaitMs: () => 60_000,
      coalesceMs: COALESCE_MS,
      following: {
        isFollower: () => relay !== undefined && this.isFollower,
        isWatcher: () => relay === undefined,
        trustMs: TRUST_MS,
        watchWaitMs: 100,
        watchCoalesceMs: COALESCE_MS,
      },
      getNowMs: () => performance.now(),
      random: () => 0.5,
      signal: this.#abortController.signal,
    });
    void this.sync.run();
    const timer = setInterval(() => this.#report(), REPORT_INTERVAL_MS);
    context.after(() => {
      clearInterval(timer);
      this.#abortController.abort();
    });
  }

  /** Lets the relay know the store's objects. */
  update(objects: readonly FeedObject[], revision: number, era = 0): void {
    this.objects = objects;
    this.version = toVersion(revision, era);
  }

  listNames(): readonly string[] {
    return this.sync.snapshot?.objects.map(({ name, revision }) => `${name}${revision}`) ?? [];
  }

  #report(): void {
    const relay = this.#relay;
    if (relay === undefined || !this.isReporting) return;
    const { version, objects } = relay;
    const changeVersion = toVersion(
      Math.max(0, ...objects.map(({ revision }) => revision)),
      version.era,
    );
    const peer: SyncPeer = {
      changeVersion,
      watch: { version, answerAgeMs: this.answerAgeMs },
      fetchDelta: (since) => {
        this.fetches.push(since.revision);
        if (this.isRelayBroken)
          return Promise.reject(new PlatformError(PlatformFailure.Unavailable, 'no answer'));
        const delta: FeedDelta = {
          version,
          changeVersion,
          changed: objects.filter(({ revision }) => revision > since.revision),
          names: objects.map(({ name }) => name),
        };
        return Promise.resolve(delta);
      },
      fetchSnapshot: () => Promise.resolve({ version, objects }),
    };
    this.sync.addPeerReport(peer);
  }
}

/** Starts a VM and waits until it follows the relay. */
const startFollower = async (
  context: TestContext,
): Promise<{ readonly relay: FollowedFeed; readonly vm: FollowedFeed }> => {
  const relay = new FollowedFeed(context);
  const vm = new FollowedFeed(context, relay);
  // Followed from before the first list, so that no watch is waiting.
  await sleep(2 * REPORT_INTERVAL_MS);
  return { relay, vm };
};

/** Interrupts a watch that has begun before the first report: a change that it misses is listed. */
const settleFirstWatch = async ({ relay, vm }: { relay: FollowedFeed; vm: FollowedFeed }) => {
  relay.update([...relay.objects, buildObject('c', 3)], 3);
  await sleep(COALESCE_MS + MISSED_CHANGE_MARGIN_MS + 4 * REPORT_INTERVAL_MS);
  assert.deepEqual(vm.listNames(), ['a1', 'b2', 'c3']);
  vm.calls.length = 0;
};

test('a VM that hears of a relay applies changes and removals without calls to the store', async (context) => {
  const fleet = await startFollower(context);
  await settleFirstWatch(fleet);
  const { relay, vm } = fleet;
  relay.update([buildObject('a', 1), buildObject('b', 5), buildObject('c', 3)], 6);
  await sleep(4 * REPORT_INTERVAL_MS);
  assert.deepEqual(vm.listNames(), ['a1', 'b5', 'c3']);
  // A removal raises no revision that remains.
  relay.update([buildObject('a', 1), buildObject('c', 3)], 7);
  await sleep(4 * REPORT_INTERVAL_MS);
  assert.deepEqual(vm.listNames(), ['a1', 'c3']);
  await sleep(2 * TRUST_MS);
  assert.deepEqual([vm.calls, vm.fetches], [[], [3, 6]]);
});

test('a VM whose relay falls silent lists and watches for itself', async (context) => {
  const fleet = await startFollower(context);
  await settleFirstWatch(fleet);
  const { relay, vm } = fleet;
  vm.isReporting = false;
  relay.update([buildObject('a', 1)], 9);
  await sleep(LAPSE_LIMIT_MS);
  assert.deepEqual(vm.listNames(), ['a1']);
  assert.deepEqual(vm.calls, [SyncSource.List, SyncSource.Watch]);
});

test('a relay that the store no longer answers is not followed, although it reports', async (context) => {
  const fleet = await startFollower(context);
  await settleFirstWatch(fleet);
  const { vm } = fleet;
  vm.answerAgeMs = TRUST_MS + 1;
  await sleep(LAPSE_LIMIT_MS);
  assert.deepEqual(vm.calls, [SyncSource.List, SyncSource.Watch]);
});

test('a VM lists if the relay does not hand over a change', async (context) => {
  const fleet = await startFollower(context);
  await settleFirstWatch(fleet);
  const { relay, vm } = fleet;
  vm.isRelayBroken = true;
  relay.update([buildObject('a', 4)], 4);
  await sleep(300);
  assert.deepEqual(vm.listNames(), ['a4']);
  assert.deepEqual([vm.failures, vm.calls], [[SyncSource.Peer], [SyncSource.List]]);
});

test('a VM that the store rejects goes on with the changes of its relay', async (context) => {
  const fleet = await startFollower(context);
  await settleFirstWatch(fleet);
  const { relay, vm } = fleet;
  vm.isStoreDown = true;
  vm.isReporting = false;
  await sleep(LAPSE_LIMIT_MS);
  vm.isReporting = true;
  relay.update([buildObject('a', 8)], 8);
  await sleep(1_200);
  assert.deepEqual(vm.listNames(), ['a8']);
});

test('a relay of another era of the store is not followed', async (context) => {
  const fleet = await startFollower(context);
  await settleFirstWatch(fleet);
  const { relay, vm } = fleet;
  vm.era.observe(1, EraSource.Store);
  await sleep(LAPSE_LIMIT_MS);
  assert.ok(vm.calls.includes(SyncSource.List));
  relay.update([buildObject('z', 1)], 1, 1);
  await sleep(LAPSE_LIMIT_MS);
  assert.deepEqual(vm.listNames(), ['z1']);
});

test('a VM that begins to relay watches for itself', async (context) => {
  const fleet = await startFollower(context);
  await settleFirstWatch(fleet);
  const { vm } = fleet;
  vm.isFollower = false;
  await sleep(LAPSE_LIMIT_MS);
  assert.deepEqual(vm.calls, [SyncSource.List, SyncSource.Watch]);
});

test('only a VM that watches for others offers its watch, and changes of the history that it knows', async (context) => {
  const { relay, vm } = await startFollower(context);
  assert.equal(vm.sync.ownWatch, undefined);
  assert.deepEqual(relay.sync.ownWatch?.version, toVersion(2));
  assert.equal(relay.sync.buildDelta(toVersion(1, 1)), undefined);
  assert.deepEqual(relay.sync.buildDelta(toVersion(1)), {
    version: toVersion(2),
    changeVersion: toVersion(2),
    changed: [buildObject('b', 2)],
    names: ['a', 'b'],
  });
});
