import assert from 'node:assert/strict';
import { test } from 'node:test';

import { OutageEstimate } from './OutageEstimate.js';

/** A VM whose store has not answered from 10 s to 20 s, and the times at which it has answered others. */
const estimateReturn = (answersAtMs: readonly number[]): number | undefined => {
  const estimate = new OutageEstimate();
  for (const atMs of answersAtMs) estimate.addPeerReport(50, atMs + 50);
  estimate.addPeerReport(undefined, 19_000);
  return estimate.estimateReturnMs(10_000, 20_000);
};

const listTimes = (firstMs: number, lastMs: number): readonly number[] =>
  Array.from({ length: (lastMs - firstMs) / 500 + 1 }, (_, index) => firstMs + index * 500);

test('without answers to other VMs, the store returned when it answered this one', () => {
  assert.equal(estimateReturn([]), 20_000);
  assert.equal(estimateReturn(listTimes(5_000, 10_000)), 20_000);
});

test('a store that has answered other VMs all the while was not away', () => {
  assert.equal(estimateReturn(listTimes(5_000, 19_500)), undefined);
});

test('the store returned with the first answer after the last gap', () => {
  assert.equal(
    estimateReturn([...listTimes(10_500, 12_000), ...listTimes(17_000, 19_500)]),
    17_000,
  );
});

test('the order of reports does not matter', () => {
  assert.equal(estimateReturn(listTimes(17_000, 19_500).toReversed()), 17_000);
});
