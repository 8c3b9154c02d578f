import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RequestSlots } from './RequestSlots.js';

// Guards against a client that leaves no room for the requests of others.
test('the last quarter of the requests is left to owners that have few', () => {
  const slots = new RequestSlots(8);
  const claims = Array.from({ length: 8 }, () => slots.claim('greedy'));
  assert.equal(claims.filter((release) => release !== undefined).length, 6);
  assert.ok(slots.claim('modest') !== undefined && slots.claim(undefined) !== undefined);
  assert.equal(slots.claim('modest'), undefined);
  claims[0]?.();
  claims[0]?.();
  assert.equal(slots.count, 7);
  assert.ok(slots.claim('modest') !== undefined);
});
