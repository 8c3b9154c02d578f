import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { rankByRendezvous } from './rendezvous.js';

const SEED = 20261204;

test('removing a candidate keeps the order of the others', () => {
  const names = fc.uniqueArray(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 20 });
  const property = fc.property(fc.string(), names, fc.nat(), (key, candidates, pick) => {
    const removed = candidates[pick % candidates.length];
    const rest = candidates.filter((name) => name !== removed).reverse();
    const expected = rankByRendezvous(key, candidates).filter((name) => name !== removed);
    assert.deepEqual(rankByRendezvous(key, rest), expected);
  });
  fc.assert(property, { seed: SEED });
});

test('similar keys are spread evenly over candidates with similar names', () => {
  const vms = Array.from({ length: 7 }, (_, index) => `vm-${index}`);
  const counts = new Map<string, number>();
  for (let key = 0; key < 7_000; key += 1) {
    const first = rankByRendezvous(`pool/dc-a/${key}`, vms)[0] ?? '';
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  assert.equal(counts.size, 7);
  for (const count of counts.values()) assert.ok(count > 800 && count < 1_200, String(count));
});
