import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createRandomSource } from '@sardinegrade/dispatch';

import { SampleKind } from './enums.js';
import { PaceTable } from './PaceTable.js';

import type { PaceSample } from './types.js';

const INSTANCES = Array.from({ length: 12 }, (_, index) => index);

const buildSample = (instance: number, speed: number): PaceSample => ({
  instance,
  kind: SampleKind.OnTime,
  speed,
  gapMs: undefined,
});

/** Feeds three answers a second of each instance, 15 % of them from a slow phase. */
const applyAnswers = (
  table: PaceTable,
  getSpeed: (instance: number) => number,
  [fromMs, toMs]: readonly [number, number],
  instances = INSTANCES,
): void => {
  const random = createRandomSource(7);
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 333) {
    for (const instance of instances) {
      const noise = random() < 0.15 ? 2.5 : 1;
      table.apply([buildSample(instance, getSpeed(instance) / noise)], nowMs);
    }
    table.update([instances], nowMs);
  }
};

test('even engines count as equal whatever their noise, and uneven ones by their speed', () => {
  const even = new PaceTable();
  applyAnswers(even, () => 0.6, [0, 20_000]);
  for (const instance of INSTANCES) assert.equal(even.get(instance).speed, 1);
  const uneven = new PaceTable();
  applyAnswers(uneven, (instance) => (instance % 3 === 2 ? 1.7 : 0.7), [0, 20_000]);
  const ratio = uneven.get(2).speed / uneven.get(0).speed;
  assert.ok(ratio > 2 && ratio < 3, String(ratio));
});

// Guards against a first few answers that make one engine the best for the whole fleet.
test('a few answers do not move the speed of an engine', () => {
  const table = new PaceTable();
  applyAnswers(table, () => 1, [0, 20_000], INSTANCES.slice(1));
  for (const nowMs of [20_000, 20_500, 21_000]) table.apply([buildSample(0, 1.4)], nowMs);
  table.update([INSTANCES], 21_000);
  assert.equal(table.get(0).speed, 1);
});

test('the speed of an engine that recovers follows, and one without answers becomes unknown', () => {
  const table = new PaceTable();
  applyAnswers(table, (instance) => (instance === 0 ? 0.25 : 1), [0, 20_000]);
  assert.ok(table.get(0).speed < 0.5);
  applyAnswers(table, () => 1, [20_000, 35_000]);
  assert.equal(table.get(0).speed, 1);
  applyAnswers(table, () => 1, [35_000, 120_000], INSTANCES.slice(1));
  table.update([INSTANCES], 120_000);
  assert.ok(table.get(0).evidence < 1 && table.get(0).needsTrials);
});

// Guards against a limit that holds requests back when all engines have just started, as after a loss of all VMs.
test('only an engine that starts after the others has a small limit, which grows with its answers', () => {
  const table = new PaceTable();
  applyAnswers(table, () => 1, [0, 10_000], INSTANCES.slice(1));
  assert.equal(table.get(1).limit, Infinity);
  table.update([INSTANCES], 10_000);
  const initial = table.get(0).limit;
  assert.ok(initial <= 4 && table.get(0).needsTrials);
  for (let answers = 0; answers < 10; answers += 1) table.apply([buildSample(0, 1)], 10_000);
  table.update([INSTANCES], 10_000);
  assert.equal(table.get(0).limit, initial + 10);
  table.apply([{ ...buildSample(0, 1), kind: SampleKind.Bad }], 10_001);
  table.update([INSTANCES], 10_001);
  assert.ok(table.get(0).limit < initial + 10);
});

test('a VM that starts takes over what another one knows, and does not lose what it knows itself', () => {
  const known = new PaceTable();
  applyAnswers(known, (instance) => (instance % 3 === 2 ? 1.7 : 0.7), [0, 20_000]);
  const started = new PaceTable();
  for (const samples of known.list()) started.restore(samples, 50_000);
  started.update([INSTANCES], 50_000);
  assert.ok(started.get(2).speed > started.get(0).speed * 2);
  const before = started.list();
  started.restore([buildSample(2, 0.1)], 50_000);
  assert.deepEqual(started.list(), before);
});
