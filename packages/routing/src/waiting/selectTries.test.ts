import assert from 'node:assert/strict';
import { test } from 'node:test';

import { selectTries } from './selectTries.js';

const buildQueue = (length: number): readonly number[] =>
  Array.from({ length }, (_, index) => index);

test('all requests of a short queue are tried', () => {
  assert.deepEqual(selectTries(buildQueue(20), 7).requests, buildQueue(20));
});

test('in a long queue the head is tried in each pass and the others in rotation, a bounded number per pass', () => {
  const queue = buildQueue(300);
  const tries = new Map<number, number>();
  let offset = 0;
  const passes = 40;
  for (let pass = 0; pass < passes; pass += 1) {
    const { requests, nextOffset } = selectTries(queue, offset);
    offset = nextOffset;
    assert.ok(requests.length <= 24);
    assert.equal(new Set(requests).size, requests.length);
    for (const request of requests) tries.set(request, (tries.get(request) ?? 0) + 1);
  }
  assert.equal(tries.get(0), passes);
  for (const request of queue) assert.ok((tries.get(request) ?? 0) >= 2, String(request));
});

test('an offset beyond the end of a shortened queue still selects requests', () => {
  const { requests } = selectTries(buildQueue(30), 290);
  assert.equal(requests.length, 24);
});
