import assert from 'node:assert/strict';
import { test } from 'node:test';

import { normalizeId } from './normalizeId.js';

const MAX_CHARACTERS = 64;

test('short ids are kept, and long ones become short ones that are as different', () => {
  for (const id of ['1a2b3c4d', 'é'.repeat(20), 'x'.repeat(MAX_CHARACTERS)])
    assert.equal(normalizeId(id, MAX_CHARACTERS), id);
  const [first, second] = ['1', '2'].map((end) =>
    normalizeId('x'.repeat(1_000) + end, MAX_CHARACTERS),
  );
  assert.notEqual(first, second);
  assert.ok(first !== undefined && first.length <= MAX_CHARACTERS);
  assert.equal(normalizeId(first, MAX_CHARACTERS), first);
});
