import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { LAPSED_GRACE_MS, WorkerDirectory } from './WorkerDirectory.js';

import type { ServiceName } from '@sardinegrade/common';
import type { Worker } from './types.js';

const DESK = toBranded<ServiceName>('desk');

const buildWorker = (id: string, isLeaving = false): Worker => ({
  id: toBranded(id),
  service: DESK,
  address: '10.0.0.1:80',
  dataCentre: toBranded('dc'),
  slots: 6,
  isLeaving,
  startedAtMs: 1,
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
