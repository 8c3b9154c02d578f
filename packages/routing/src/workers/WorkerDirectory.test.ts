import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { HELD_MS, LAPSED_GRACE_MS, WorkerDirectory } from './WorkerDirectory.js';

import type { ServiceName } from '@sardinegrade/common';
import type { Worker } from './types.js';

const DESK = toBranded<ServiceName>('desk');

const buildWorker = (id: string, isLeaving = false, startedAtMs = 1, sequence = 1): Worker => ({
  id: toBranded(id),
  service: DESK,
  address: '10.0.0.1:80',
  dataCentre: toBranded('dc'),
  build: toBranded('v1'),
  slots: 6,
  isLeaving,
  startedAtMs,
  sequence,
});

const listIds = (directory: WorkerDirectory, nowMs: number): readonly string[] =>
  directory.listUsable(DESK, nowMs).map((worker) => worker.id);

test('a worker receives no new requests once it is leaving or removed', () => {
  const directory = new WorkerDirectory();
  directory.set(buildWorker('w1'));
  directory.set(buildWorker('w2'));
  directory.set(buildWorker('w1', true));
  assert.deepEqual(listIds(directory, 0), ['w2']);
  directory.remove(toBranded('w2'), 10);
  assert.deepEqual(listIds(directory, 10), []);
});

test('a registration that lapsed during an outage of the store is kept for the grace period after it', () => {
  const directory = new WorkerDirectory();
  directory.set(buildWorker('w1'));
  directory.recordStoreRecovery(1_000);
  directory.replaceAll([], 1_000);
  assert.deepEqual(listIds(directory, 1_000 + LAPSED_GRACE_MS - 1), ['w1']);
  assert.deepEqual(listIds(directory, 1_000 + LAPSED_GRACE_MS), []);
});

test('a worker that was leaving before the outage is not kept', () => {
  const directory = new WorkerDirectory();
  directory.set(buildWorker('w1', true));
  directory.recordStoreRecovery(1_000);
  directory.replaceAll([], 1_000);
  assert.equal(directory.find(toBranded('w1')), undefined);
});

test('a worker that registers again within the grace period stays', () => {
  const directory = new WorkerDirectory();
  directory.set(buildWorker('w1'));
  directory.recordStoreRecovery(1_000);
  directory.remove(toBranded('w1'), 1_000);
  directory.set(buildWorker('w1'));
  assert.deepEqual(listIds(directory, 10_000), ['w1']);
});

test('after a restore of the store, an earlier process of a worker does not replace a later one', () => {
  const directory = new WorkerDirectory();
  const current = buildWorker('w1', false, 2);
  directory.set(current);
  directory.recordStoreRestore(1_000);
  assert.deepEqual(directory.replaceAll([buildWorker('w1', false, 1, 9)], 1_000), [
    buildWorker('w1', false, 1, 9),
  ]);
  assert.equal(directory.find(current.id), current);
  assert.equal(directory.set(buildWorker('w1', false, 3)), true);
});

test('after a restore of the store, a worker that was leaving stays so until its next process', () => {
  const directory = new WorkerDirectory();
  directory.set(buildWorker('w1', true, 1, 5));
  directory.recordStoreRestore(1_000);
  for (const sequence of [4, 5, 6]) directory.set(buildWorker('w1', false, 1, sequence));
  assert.deepEqual(listIds(directory, 1_000), []);
  directory.set(buildWorker('w1', false, 2, 1));
  assert.deepEqual(listIds(directory, 1_000), ['w1']);
});

test('after a restore of the store, a removed worker stays removed until it reports again', () => {
  const directory = new WorkerDirectory();
  directory.set(buildWorker('w1', false, 1, 5));
  directory.remove(toBranded('w1'), 500);
  directory.recordStoreRestore(1_000);
  directory.recordStoreRestore(2_000);
  directory.replaceAll([buildWorker('w1', false, 1, 5)], 2_000);
  assert.deepEqual(listIds(directory, 2_000), []);
  directory.set(buildWorker('w1', false, 1, 6));
  assert.deepEqual(listIds(directory, 2_000), ['w1']);
});

test('after a restore of the store, an unknown worker is used once its registration has outlasted expiry', () => {
  const directory = new WorkerDirectory();
  directory.recordStoreRestore(1_000);
  const listed = [buildWorker('w1'), buildWorker('w2')];
  assert.deepEqual(directory.replaceAll(listed, 1_000), listed);
  assert.deepEqual(directory.replaceAll(listed, 2_000), listed);
  directory.remove(toBranded('w2'), 4_600);
  assert.deepEqual(listIds(directory, 1_000 + HELD_MS - 1), []);
  assert.deepEqual(listIds(directory, 1_000 + HELD_MS), ['w1']);
});

test('after a restore of the store, a worker that it lacks is kept until registrations have been renewed', () => {
  const directory = new WorkerDirectory();
  directory.set(buildWorker('w1'));
  directory.recordStoreRestore(1_000);
  directory.replaceAll([], 1_000);
  assert.deepEqual(listIds(directory, 1_000 + LAPSED_GRACE_MS - 1), ['w1']);
  assert.deepEqual(listIds(directory, 1_000 + LAPSED_GRACE_MS), []);
});

test('without a restore, the newest registration counts whatever its sequence is', () => {
  const directory = new WorkerDirectory();
  directory.set(buildWorker('w1', true, 2, 5));
  directory.remove(toBranded('w1'), 500);
  directory.set(buildWorker('w1', false, 2, 1));
  assert.deepEqual(listIds(directory, 1_000), ['w1']);
});
