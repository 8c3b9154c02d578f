import assert from 'node:assert/strict';
import { test } from 'node:test';

import { isReportReady, isStillReported, listReadyWindows } from './selectWindows.js';

const WINDOW_MS = 5_000;

test('a report is settled when all counts are final, or when no more are awaited', () => {
  const isReady = (sinceEndMs: number, hasAllCounts: boolean, heldMs = 60_000): boolean =>
    isReportReady({
      sinceEndMs,
      heldMs,
      windowMs: WINDOW_MS,
      dueMs: 10_000,
      hasAllCounts: () => hasAllCounts,
    });
  assert.equal(isReady(2_499, true), false);
  assert.equal(isReady(2_500, true), true);
  assert.equal(isReady(4_999, false), false);
  assert.equal(isReady(5_000, false), true);
  // A new holder has not fetched all VMs yet.
  assert.equal(isReady(9_000, false, 4_999), false);
});

test('windows are listed in order, none is skipped that can still be reported, and recorded ones never come again', () => {
  const list = (highestWindow: number, unready?: number): readonly number[] =>
    listReadyWindows({
      highestWindow,
      timeMs: 20 * WINDOW_MS,
      windowMs: WINDOW_MS,
      isReady: (window) => window !== unready,
    });
  assert.deepEqual(list(17), [18, 19]);
  assert.deepEqual(list(17, 18), []);
  assert.deepEqual(list(0), [14, 15, 16, 17, 18, 19]);
  assert.deepEqual(list(25), []);
  assert.equal(isStillReported(13, 20 * WINDOW_MS, WINDOW_MS), true);
  assert.equal(isStillReported(13, 20 * WINDOW_MS + 1, WINDOW_MS), false);
});
