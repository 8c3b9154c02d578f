import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MemoryGuard } from './MemoryGuard.js';

const MEMORY_BYTES = 1_000;
const CHECK_MS = 100;
const DURATION_MS = 60_000;
const COLLECTION_MS = 30;

/** Checks for a minute; returns how often garbage was collected. */
const countCollections = (residentBytes: number, freedBytes: number): number => {
  let nowMs = 0;
  let collections = 0;
  let bytes = residentBytes;
  const guard = new MemoryGuard({
    memoryBytes: MEMORY_BYTES,
    getNowMs: () => nowMs,
    readResidentBytes: () => bytes,
    collect: () => {
      collections += 1;
      bytes -= freedBytes;
      nowMs += COLLECTION_MS;
    },
  });
  for (; nowMs < DURATION_MS; nowMs += CHECK_MS) guard.check();
  return collections;
};

test('garbage is collected while much of the memory is in use, in a twentieth of the time at most', () => {
  assert.equal(countCollections(500, 0), 0);
  assert.equal(countCollections(900, 500), 1);
  const collections = countCollections(900, 0);
  assert.ok(collections > 10 && collections * COLLECTION_MS <= DURATION_MS / 20);
});
