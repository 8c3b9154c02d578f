import assert from 'node:assert/strict';
import { test } from 'node:test';

import { checkClocks, NO_SUSPENSION } from './suspension.js';

const WINDOW_MS = 3_000;

/** Checks the clocks every 100 ms; the wall clock also advances by the given extra time before each check. */
const findSuspicion = (extrasMs: readonly number[]): number | undefined => {
  let state = NO_SUSPENSION;
  let wallMs = 0;
  for (const [index, extraMs] of extrasMs.entries()) {
    wallMs += 100 + extraMs;
    state = checkClocks(state, { monotonicMs: index * 100, wallMs }, WINDOW_MS);
  }
  return state.suspectedAtMs;
};

test('a suspension and a jump of the wall clock in either direction are suspected, a small difference is not', () => {
  assert.equal(findSuspicion([0, 0, 251, 0]), 200);
  assert.equal(findSuspicion([0, 0, -251, 0]), 200);
  assert.equal(findSuspicion([0, 0, 249, 0]), undefined);
  // The clock is set back to where it was: the first jump must not be forgotten.
  assert.equal(findSuspicion([0, 2_000, -2_000]), 200);
});

// Guards against suspensions that are too short each, but together outlast the margin of the lease.
test('short suspensions within the validity of a renewal add up, and those of longer ago do not', () => {
  assert.equal(findSuspicion([0, 90, 90, 90]), 300);
  assert.equal(findSuspicion(new Array<number>(40).fill(9)), 2_800);
  const spread = Array.from({ length: 100 }, (_value, index) => (index % 20 === 0 ? 60 : 0));
  assert.equal(findSuspicion(spread), undefined);
});
