import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { createRecord } from '../testing/createRecord.js';
import { DistributionActionKind, DistributionEventKind } from './enums.js';
import { createDistribution, getGeneration, reduceDistribution } from './reduceDistribution.js';

import type { VmId } from '@sardinegrade/common';
import type { DistributionEvent, DistributionState } from './types.js';

const SEED = 20261204;
const PEER = toBranded<VmId>('peer');

const createContext = (nowMs: number) => ({ nowMs, random: () => 0.5 });

const GENERATION = fc.integer({ min: 1, max: 20 });
const EVENT: fc.Arbitrary<DistributionEvent> = fc.oneof(
  fc.constant({ kind: DistributionEventKind.Tick } as const),
  GENERATION.map((generation) => ({
    kind: DistributionEventKind.GenerationReported as const,
    from: PEER,
    generation,
  })),
  fc.boolean().map((isWatcher) => ({
    kind: DistributionEventKind.WatcherChanged as const,
    isWatcher,
  })),
  GENERATION.map((generation) => ({
    kind: DistributionEventKind.Fetched as const,
    record: createRecord(generation),
  })),
  fc.constant({ kind: DistributionEventKind.FetchFailed, from: PEER } as const),
  fc.tuple(fc.option(GENERATION, { nil: undefined }), fc.boolean()).map(([generation, isRead]) => ({
    kind: isRead
      ? (DistributionEventKind.PlatformRead as const)
      : (DistributionEventKind.PlatformWatched as const),
    version: generation,
    record: generation === undefined ? undefined : createRecord(generation),
  })),
  fc.constant({ kind: DistributionEventKind.PlatformFailed } as const),
  GENERATION.map((generation) => ({
    kind: DistributionEventKind.Stored as const,
    record: createRecord(generation),
  })),
);

test('the newest received generation never decreases, regardless of the events and their order', () => {
  const property = fc.property(fc.array(EVENT, { maxLength: 60 }), (events) => {
    let state = createDistribution(createContext(0));
    let nowMs = 0;
    for (const event of events) {
      nowMs += 700;
      const before = getGeneration(state);
      const step = reduceDistribution(state, event, createContext(nowMs));
      state = step.state;
      assert.ok(getGeneration(state) >= before);
      const installs = step.actions.filter((a) => a.kind === DistributionActionKind.Install);
      assert.equal(installs.length, getGeneration(state) > before ? 1 : 0);
    }
  });
  fc.assert(property, { seed: SEED, numRuns: 500 });
});

test('at most one fetch and one platform call are pending at a time', () => {
  const property = fc.property(fc.array(EVENT, { maxLength: 60 }), (events) => {
    let state = createDistribution(createContext(0));
    let nowMs = 0;
    for (const event of events) {
      nowMs += 700;
      const { isFetching, isPlatformCallPending } = state;
      const step = reduceDistribution(state, event, createContext(nowMs));
      const kinds = step.actions.map((action) => action.kind);
      const endsFetch =
        event.kind === DistributionEventKind.Fetched ||
        event.kind === DistributionEventKind.FetchFailed;
      const endsCall =
        event.kind === DistributionEventKind.PlatformRead ||
        event.kind === DistributionEventKind.PlatformWatched ||
        event.kind === DistributionEventKind.PlatformFailed;
      if (isFetching && !endsFetch) assert.ok(!kinds.includes(DistributionActionKind.Fetch));
      const calls = kinds.filter(
        (kind) => kind === DistributionActionKind.Read || kind === DistributionActionKind.Watch,
      );
      assert.ok(calls.length <= 1);
      if (isPlatformCallPending && !endsCall) assert.equal(calls.length, 0);
      state = step.state;
    }
  });
  fc.assert(property, { seed: SEED, numRuns: 500 });
});

const runEvents = (events: readonly DistributionEvent[], nowMs: number) => {
  let state: DistributionState = createDistribution(createContext(0));
  const kinds: DistributionActionKind[] = [];
  for (const event of events) {
    const step = reduceDistribution(state, event, createContext(nowMs));
    state = step.state;
    kinds.push(...step.actions.map((action) => action.kind));
  }
  return kinds;
};

test('a starting daemon fetches from its peers first, and reads the platform only if none has a generation', () => {
  const reported = {
    kind: DistributionEventKind.GenerationReported,
    from: PEER,
    generation: 3,
  } as const;
  const tick = { kind: DistributionEventKind.Tick } as const;
  assert.deepEqual(runEvents([tick, reported, tick], 100), [DistributionActionKind.Fetch]);
  assert.deepEqual(runEvents([tick], 3_000), [DistributionActionKind.Read]);
});

test('a watcher reads the object again after a watch without changes, in case the platform was restored', () => {
  const watch = { kind: DistributionEventKind.WatcherChanged, isWatcher: true } as const;
  const read = { kind: DistributionEventKind.PlatformRead, version: 9, record: undefined } as const;
  const unchanged = {
    kind: DistributionEventKind.PlatformWatched,
    version: 9,
    record: undefined,
  } as const;
  assert.deepEqual(runEvents([watch, read, unchanged], 0), [
    DistributionActionKind.Read,
    DistributionActionKind.Watch,
    DistributionActionKind.Read,
  ]);
});
