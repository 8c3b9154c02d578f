import assert from 'node:assert/strict';
import { test } from 'node:test';

import { CancelOrder, HeldBytes } from './HeldBytes.js';

test('the largest answers are cancelled when all together exceed the limit', () => {
  const held = new HeldBytes({ maxBytes: 100, sparedBytes: 0, cancelOrder: CancelOrder.Largest });
  const cancelled: string[] = [];
  const buildCancel = (name: string) => (): void => {
    cancelled.push(name);
  };
  const small = buildCancel('small');
  const large = buildCancel('large');
  held.add(small, 10);
  held.add(large, 60);
  held.add(large, 20);
  assert.deepEqual([held.totalBytes, cancelled], [90, []]);
  held.add(small, 15);
  assert.deepEqual([held.totalBytes, cancelled], [25, ['large']]);
  held.remove(small);
  held.remove(large);
  assert.equal(held.totalBytes, 0);
});

test('messages that are whole or small count, and are not cancelled', () => {
  const held = new HeldBytes({ maxBytes: 100, sparedBytes: 10, cancelOrder: CancelOrder.Largest });
  const cancelled: string[] = [];
  const buildCancel = (name: string) => (): void => {
    cancelled.push(name);
  };
  const [whole, small, large] = ['whole', 'small', 'large'].map(buildCancel);
  assert.ok(whole !== undefined && small !== undefined && large !== undefined);
  held.add(whole, 95);
  held.keep(whole);
  held.add(small, 10);
  assert.deepEqual([held.totalBytes, cancelled], [105, []]);
  held.add(large, 11);
  assert.deepEqual([held.totalBytes, cancelled], [105, ['large']]);
  held.remove(whole);
  held.remove(small);
  assert.equal(held.totalBytes, 0);
});

// Guards against uploads of which none becomes whole: those that were nearly complete were cancelled first.
test('the newest message is cancelled, so that earlier ones become whole', () => {
  const held = new HeldBytes({ maxBytes: 100, sparedBytes: 10, cancelOrder: CancelOrder.Newest });
  const cancelled: string[] = [];
  const [first, second] = ['first', 'second'].map((name) => (): void => {
    cancelled.push(name);
  });
  assert.ok(first !== undefined && second !== undefined);
  held.add(first, 60);
  held.add(second, 30);
  held.add(first, 20);
  assert.deepEqual([held.totalBytes, cancelled], [80, ['second']]);
});

// Guards against small messages that are never cancelled, however many there are.
test('small messages are cancelled, the first ones first, beyond a quarter more or beyond their number', () => {
  const cancelled: number[] = [];
  const addAll = (maxOpen: number): HeldBytes => {
    cancelled.length = 0;
    const limits = { maxBytes: 100, sparedBytes: 10, cancelOrder: CancelOrder.Newest, maxOpen };
    const held = new HeldBytes(limits);
    for (let index = 0; index < 15; index += 1) held.add(() => cancelled.push(index), 10);
    return held;
  };
  assert.equal(addAll(Infinity).totalBytes, 120);
  assert.deepEqual(cancelled, [0, 1, 2]);
  assert.equal(addAll(10).openCount, 10);
  assert.deepEqual(cancelled, [0, 1, 2, 3, 4]);
});

test('the oldest message is cancelled where it has made no progress for the longest time', () => {
  const held = new HeldBytes({ maxBytes: 100, sparedBytes: 0, cancelOrder: CancelOrder.Oldest });
  const cancelled: string[] = [];
  for (const name of ['first', 'second', 'third']) held.add(() => cancelled.push(name), 40);
  assert.deepEqual([held.totalBytes, cancelled], [80, ['first']]);
});

// Guards against a client whose messages make those of all others give way.
test('the owner that holds most gives way, by its bytes or by the number of its messages', () => {
  const cancelled: string[] = [];
  const build = (maxBytes: number, maxOpen: number): HeldBytes => {
    cancelled.length = 0;
    const limits = { maxBytes, sparedBytes: 10, cancelOrder: CancelOrder.Newest, maxOpen };
    return new HeldBytes({ ...limits, onCancelled: (owner) => cancelled.push(owner ?? 'none') });
  };
  const bytes = build(100, Infinity);
  bytes.add(() => undefined, 60, 'greedy');
  bytes.add(() => undefined, 30, 'modest');
  bytes.add(() => undefined, 30, undefined);
  assert.deepEqual([bytes.totalBytes, cancelled], [60, ['greedy']]);
  const messages = build(1_000, 4);
  messages.add(() => undefined, 50, 'modest');
  for (let index = 0; index < 6; index += 1) messages.add(() => undefined, 5, 'greedy');
  assert.deepEqual([messages.openCount, cancelled], [4, ['greedy', 'greedy', 'greedy']]);
});
