import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { computeFirstTokenTimeoutMs, computeTokenTimeoutMs } from './progressTimeouts.js';

const SEED = 20261204;

test('the first-token timeout leaves two thirds of a deadline of 10 s or more for other attempts', () => {
  const property = fc.property(
    fc.nat(120_000),
    fc.integer({ min: 10_000, max: 3_600_000 }),
    (targetMs, remainingMs) =>
      assert.ok(computeFirstTokenTimeoutMs(targetMs, remainingMs) <= remainingMs / 3),
  );
  fc.assert(property, { seed: SEED });
});

test('the first-token timeout of a class with a long target ends well before a short deadline', () => {
  assert.ok(computeFirstTokenTimeoutMs(10_000, 20_000) < 7_000);
});

test('the timeout between two tokens is 2 to 5 s', () => {
  assert.equal(computeTokenTimeoutMs(1), 2_000);
  assert.equal(computeTokenTimeoutMs(78), 3_120);
  assert.equal(computeTokenTimeoutMs(60_000), 5_000);
});
