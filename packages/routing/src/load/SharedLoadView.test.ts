import assert from 'node:assert/strict';
import { test } from 'node:test';

import { hashText, toBranded } from '@sardinegrade/common';

import { PEER_TIMEOUT_MS, SharedLoadView } from './SharedLoadView.js';

import type { UpstreamId, VmId } from '@sardinegrade/common';
import type { LoadReport } from './types.js';

const ENGINE = toBranded<UpstreamId>('e1');

const buildReport = (part: Partial<LoadReport>, backlogTokens: number): LoadReport => ({
  vm: toBranded('vm-1'),
  startedAtMs: 1,
  sequence: 1,
  vmCount: 1,
  waiting: { requests: 2, promptTokens: 300 },
  engines: new Map([[hashText(ENGINE), { backlogTokens, runs: 1 }]]),
  ...part,
});

test('the load on an engine is the sum over the newest report of each VM', () => {
  const view = new SharedLoadView();
  view.apply(buildReport({ sequence: 2 }, 100), 0);
  assert.equal(view.apply(buildReport({ sequence: 1 }, 900), 0), false);
  view.apply(buildReport({ vm: toBranded('vm-2') }, 50), 0);
  assert.deepEqual(view.getLoad(hashText(ENGINE)), { backlogTokens: 150, runs: 2 });
});

test('what waits at VMs is the sum over their newest reports, without those that are gone', () => {
  const view = new SharedLoadView();
  const second = toBranded<VmId>('vm-2');
  view.apply(buildReport({}, 100), 0);
  view.apply(buildReport({ sequence: 2 }, 100), 0);
  view.apply(buildReport({ vm: second }, 50), PEER_TIMEOUT_MS);
  assert.deepEqual(view.waiting, { requests: 4, promptTokens: 600 });
  assert.deepEqual(view.computeWaitingWithout(second), { requests: 2, promptTokens: 300 });
  view.countLive(PEER_TIMEOUT_MS + 1);
  assert.deepEqual(view.waiting, { requests: 2, promptTokens: 300 });
});

test('reports of a restarted VM replace earlier ones, and a late report of the previous process is dropped', () => {
  const view = new SharedLoadView();
  view.apply(buildReport({ sequence: 40 }, 100), 0);
  assert.equal(view.apply(buildReport({ startedAtMs: 2, sequence: 1 }, 7), 10), true);
  assert.equal(view.apply(buildReport({ sequence: 41 }, 100), 20), false);
  assert.equal(view.getLoad(hashText(ENGINE)).backlogTokens, 7);
});

test('a VM that stops reporting is no longer alive and adds no load', () => {
  const view = new SharedLoadView();
  view.apply(buildReport({}, 100), 0);
  assert.equal(view.countLive(10), 1);
  assert.equal(view.countLive(PEER_TIMEOUT_MS + 1), 0);
  assert.deepEqual(view.getLoad(hashText(ENGINE)), { backlogTokens: 0, runs: 0 });
});
