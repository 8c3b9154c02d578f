import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RequestSlots } from './RequestSlots.js';

// Guards against a client that leaves no room for the requests of others.
test('the last quarter of the requests is left to owners that have few', () => {
  const slots = new RequestSlots({ requests: 8, headBytes: 0 });
  const claims = Array.from({ length: 8 }, () => slots.claim('greedy', 0));
  assert.equal(claims.filter((release) => release !== undefined).length, 6);
  assert.ok(slots.claim('modest', 0) !== undefined && slots.claim(undefined, 0) !== undefined);
  assert.equal(slots.claim('modest', 0), undefined);
  claims[0]?.();
  claims[0]?.();
  assert.equal(slots.count, 7);
  assert.ok(slots.claim('modest', 0) !== undefined);
});

// Guards against heads of many short lines, which need far more memory than their bytes.
test('the memory of large heads is limited, and small ones are not refused for it', () => {
  const slots = new RequestSlots({ requests: 8, headBytes: 500_000 });
  const release = slots.claim('desk', 400_000);
  assert.equal(slots.claim('desk', 400_000), undefined);
  assert.ok(slots.claim('desk', 2_000) !== undefined);
  release?.();
  assert.ok(slots.claim('desk', 400_000) !== undefined);
});
