import assert from 'node:assert/strict';
import { test } from 'node:test';

import { PlatformError, PlatformFailure } from '../PlatformError.js';
import { WriteOutcome } from '../types.js';
import { createMemoryPlatform } from './createMemoryPlatform.js';

const expectFailure = (failure: PlatformFailure) => (error: unknown) => {
  assert.ok(error instanceof PlatformError);
  assert.equal(error.failure, failure);
  return true;
};

const createWrite = (name: string, ifVersion = 0) => ({
  kind: 'vm',
  name,
  ifVersion,
  changeId: `${name}-${ifVersion}`,
  value: { name },
});

test('conditional writes: create, update, conflict and delete', async () => {
  const platform = createMemoryPlatform();
  assert.deepEqual(await platform.write(createWrite('a')), {
    outcome: WriteOutcome.Written,
    version: 1,
  });
  const conflict = await platform.write(createWrite('a'));
  assert.ok(conflict.outcome === WriteOutcome.Conflict);
  assert.equal(conflict.current?.version, 1);
  assert.equal((await platform.write(createWrite('a', 1))).outcome, WriteOutcome.Written);
  assert.equal((await platform.remove('vm', 'a', 1)).outcome, WriteOutcome.Conflict);
  assert.equal((await platform.remove('vm', 'a', 2)).outcome, WriteOutcome.Written);
  assert.equal(await platform.read('vm', 'a'), undefined);
});

test('lists are sorted by name and paged', async () => {
  const platform = createMemoryPlatform();
  for (let index = 0; index < 501; index += 1) {
    await platform.write(createWrite(`n${String(index).padStart(4, '0')}`));
  }
  const first = await platform.list('vm', 'n');
  assert.equal(first.objects.length, 500);
  assert.equal(first.next, 'n0499');
  const second = await platform.list('vm', 'n', first.next);
  assert.deepEqual(
    second.objects.map((object) => object.name),
    ['n0500'],
  );
  assert.equal(second.next, undefined);
});

test('a watch returns missed changes immediately, waits for new ones, and reports when some were dropped', async () => {
  const platform = createMemoryPlatform();
  await platform.write(createWrite('a'));
  const missed = await platform.watch('vm', 0, 60_000);
  assert.deepEqual(
    missed.changes.map((change) => change.name),
    ['a'],
  );
  const waiting = platform.watch('vm', missed.version, 60_000);
  await platform.write(createWrite('b'));
  assert.equal((await waiting).changes[0]?.object?.name, 'b');
  for (let version = 1; version <= 5_000; version += 1) {
    await platform.write(createWrite('a', version === 1 ? 1 : version + 1));
  }
  assert.equal((await platform.watch('vm', 1, 60_000)).isTruncated, true);
});

test('an outage rejects calls and ends waiting watches', async () => {
  const platform = createMemoryPlatform();
  const waiting = platform.watch('vm', 0, 60_000);
  const ended = assert.rejects(waiting, expectFailure(PlatformFailure.Unavailable));
  // The watch has to be waiting before the outage begins.
  await Promise.resolve();
  platform.setBehaviour({ outage: true });
  await ended;
  await assert.rejects(platform.read('vm', 'a'), expectFailure(PlatformFailure.Unavailable));
});

test('reads and writes have separate rate limits, and a watch counts as a read', async () => {
  const platform = createMemoryPlatform({
    behaviour: { readsPerSecond: 2, writesPerSecond: 1 },
    clock: { getNowMs: () => 0 },
  });
  await platform.write(createWrite('a'));
  const limited = expectFailure(PlatformFailure.Limited);
  await assert.rejects(platform.write(createWrite('b')), limited);
  await platform.watch('vm', 0, 1);
  await platform.read('vm', 'a');
  await assert.rejects(platform.read('vm', 'a'), limited);
  assert.deepEqual(platform.getCounts().byCall, { 'write vm': 2, 'watch vm': 1, 'read vm': 2 });
});

test('names and values are validated, and values are never shared', async () => {
  const platform = createMemoryPlatform();
  const value = { list: [1] };
  await platform.write({ ...createWrite('a'), value });
  value.list.push(2);
  assert.deepEqual((await platform.read('vm', 'a'))?.value, { list: [1] });
  const invalid = expectFailure(PlatformFailure.Invalid);
  await assert.rejects(platform.read('vm', 'a/b'), invalid);
  const large = { ...createWrite('b'), value: 'x'.repeat(1_048_576) };
  await assert.rejects(platform.write(large), invalid);
});

test('the VM list lags by the configured time', async () => {
  let nowMs = 0;
  const platform = createMemoryPlatform({
    behaviour: { listLagMs: 1_000 },
    clock: { getNowMs: () => nowMs },
  });
  const vm = { id: 'a', dataCentre: 'hobart', role: 'entry', address: 'x:1', isLeaving: false };
  nowMs = 5_000;
  platform.setBehaviour({ vms: [vm] });
  assert.deepEqual(await platform.listVms(), []);
  nowMs = 6_000;
  assert.deepEqual(await platform.listVms(), [vm]);
});
