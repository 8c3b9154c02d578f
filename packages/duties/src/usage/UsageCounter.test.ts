import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { UsageCounter } from './UsageCounter.js';

import type { WorkspaceName } from '@sardinegrade/common';

const WINDOW_MS = 5_000;
const [HULE, FIDA] = ['hule930', 'fida11'].map((name) => toBranded<WorkspaceName>(name));

test('requests are counted by window and workspace, and the last 24 windows are kept', () => {
  assert.ok(HULE !== undefined && FIDA !== undefined);
  const counter = new UsageCounter({
    process: { vm: toBranded('vm'), startedAtMs: 1 },
    windowMs: WINDOW_MS,
  });
  counter.record(HULE, 0);
  counter.record(HULE, WINDOW_MS - 1);
  counter.record(FIDA, WINDOW_MS);
  assert.deepEqual(
    [...counter.list(0)],
    [
      [0, new Map([[HULE, 2]])],
      [1, new Map([[FIDA, 1]])],
    ],
  );
  assert.deepEqual([...counter.list(1).keys()], [1]);
  counter.record(HULE, 24 * WINDOW_MS);
  assert.deepEqual([...counter.list(0).keys()], [1, 24]);
});

// Guards against a VM that keeps no counts, since its clock was far ahead before it was synchronized.
test('a window far in the future does not displace the present ones', () => {
  assert.ok(HULE !== undefined);
  const counter = new UsageCounter({
    process: { vm: toBranded('vm'), startedAtMs: 1 },
    windowMs: WINDOW_MS,
  });
  counter.record(HULE, 1_000 * WINDOW_MS);
  counter.record(HULE, 3 * WINDOW_MS);
  assert.deepEqual([...counter.list(0).keys()], [3]);
});
