import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MAX_ANSWER_BYTES, MAX_HELD_BODY_BYTES } from './constants.js';
import { deriveClientLimits } from './deriveClientLimits.js';

const MAX_BODY_BYTES = 4_194_304;
const RESERVED_DESCRIPTORS = 200;

test('limits follow the memory and the descriptors of the VM, and leave room for the rest', () => {
  for (const [memoryMb, descriptorLimit] of [
    [210, 2_212],
    [602, 10_250],
  ] as const) {
    const memoryBytes = memoryMb * 1_000_000;
    const limits = deriveClientLimits({ memoryBytes, descriptorLimit });
    const heldBytes = limits.bodyBytes + limits.answerBytes + limits.unreadBytes;
    assert.ok(heldBytes <= memoryBytes / 2, `${heldBytes} of ${memoryBytes}`);
    const descriptors = limits.connections + limits.requests + RESERVED_DESCRIPTORS;
    assert.ok(descriptors < descriptorLimit);
  }
});

test('one body and one answer of the largest size fit into the smallest memory, and defaults are those of a small VM', () => {
  const smallest = deriveClientLimits({ memoryBytes: 1, descriptorLimit: 1 });
  assert.ok(smallest.bodyBytes >= 2 * MAX_BODY_BYTES);
  assert.ok(smallest.answerBytes >= MAX_ANSWER_BYTES);
  assert.ok(smallest.connections > 0 && smallest.requests > 0);
  assert.equal(deriveClientLimits({}).bodyBytes, MAX_HELD_BODY_BYTES);
});
