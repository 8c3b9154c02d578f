import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { UsageView } from './UsageView.js';

import type { WorkspaceName } from '@sardinegrade/common';
import type { UsagePage } from './types.js';

const WINDOW_MS = 5_000;
const WORKSPACE: WorkspaceName = toBranded('hule930');

const buildPage = (vm: string, startedAtMs: number, window: number, count: number): UsagePage => ({
  process: { vm: toBranded(vm), startedAtMs },
  wallMs: 0,
  timeMs: 7 * WINDOW_MS,
  windows: new Map([[window, new Map([[WORKSPACE, count]])]]),
});

// Guards against counts that are lost or doubled when a VM dies, restarts or answers late.
test('the largest count of each VM process is added up', () => {
  const view = new UsageView(WINDOW_MS);
  const nowMs = 6 * WINDOW_MS;
  for (const page of [
    buildPage('a', 1, 5, 3),
    buildPage('a', 1, 5, 2),
    buildPage('a', 2, 5, 10),
    buildPage('b', 1, 5, 100),
  ])
    assert.equal(view.add(page, nowMs), 0);
  assert.deepEqual([...view.computeTotal(5)], [[WORKSPACE, 113]]);
  // The VM's clock is ahead: what it counts until the present may still grow.
  assert.equal(view.isFinal(toBranded('a'), nowMs), true);
  assert.equal(view.isFinal(toBranded('a'), nowMs + 1), false);
  assert.equal(view.isFinal(toBranded('c'), 0), false);
});

test('windows far in the future are ignored, and old ones are removed', () => {
  const view = new UsageView(WINDOW_MS);
  assert.equal(view.add(buildPage('a', 1, 9, 1), 6 * WINDOW_MS), 1);
  assert.equal(view.add(buildPage('a', 1, 8, 1), 6 * WINDOW_MS), 0);
  assert.equal(view.computeTotal(9).size, 0);
  view.sweep(40 * WINDOW_MS);
  assert.equal(view.computeTotal(8).size, 0);
});
