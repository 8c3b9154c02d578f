import assert from 'node:assert/strict';
import { test } from 'node:test';

import { hashText, toBranded } from '@sardinegrade/common';

import { RoomFairness, RoomSimulation } from '../testing/index.js';
import { rankWaiting } from './rankWaiting.js';
import { WorkspaceWork } from './WorkspaceWork.js';

import type { WorkspaceName } from '@sardinegrade/common';
import type { RoomSite, RoomTraffic } from '../testing/index.js';
import type { WaitingRequest } from './rankWaiting.js';

const buildRequest = (workspace: string, part: Partial<WaitingRequest> = {}): WaitingRequest => ({
  priority: 1,
  arrivedAtMs: 0,
  dueAtMs: 2_000,
  prefillMs: 100,
  workspace: toBranded<WorkspaceName>(workspace),
  workTokens: 1_000,
  ...part,
});

test('a queue alternates between workspaces of equal work, and one with more work comes later', () => {
  const requests = ['a', 'a', 'a', 'b', 'c'].map((workspace) => buildRequest(workspace));
  const work = new Map([['c', 1_500]]);
  const ranked = rankWaiting(requests, 0, (workspace) => work.get(workspace) ?? 0);
  assert.deepEqual(
    ranked.map(({ workspace }) => workspace),
    ['a', 'b', 'a', 'c', 'a'],
  );
});

test('rank precedes work, and within a workspace what can still be on time comes first', () => {
  const late = buildRequest('a', { dueAtMs: 50 });
  const onTime = buildRequest('a');
  const urgent = buildRequest('b', { priority: 0 });
  const getWork = (workspace: WorkspaceName): number => (workspace === 'b' ? 9_000 : 0);
  assert.deepEqual(rankWaiting([late, onTime, urgent], 0, getWork), [urgent, onTime, late]);
});

test('work is forgotten within some seconds', () => {
  const work = new WorkspaceWork();
  const name = toBranded<WorkspaceName>('a');
  work.record(name, 10_000, 0);
  work.record(name, 10_000, 0);
  assert.equal(work.get(hashText(name), 0), 20_000);
  assert.ok(work.get(hashText(name), 8_000) < 3_000);
  assert.equal(work.list(60_000).size, 0);
});

/** 24 workspaces with a tenth over the engine's rate; the first one sends 7.5 times as much as each other. */
const TRAFFIC: readonly RoomTraffic[] = Array.from({ length: 24 }, (_, index) => ({
  name: `w${index}`,
  workspace: `w${index}`,
  perSecond: index === 0 ? 3.3 : 0.44,
  priority: 1,
  promptTokens: 4_500,
  streamMs: 1_500,
  targetMs: 1_500,
}));

const countLate = (site: RoomSite): { readonly others: number; readonly first: number } => {
  let first = 0;
  let all = 0;
  for (const seed of [1, 2, 3, 4]) {
    const { counts } = new RoomSimulation(site, seed).run(TRAFFIC, 12);
    first += counts.get('w0')?.late ?? 0;
    for (const { late } of counts.values()) all += late;
  }
  return { others: all - first, first };
};

// Guards against a workspace that sends 7.5 times its usual load and delays the requests of all others.
test('a workspace that sends several times its usual load delays itself', (context) => {
  const site: RoomSite = { vms: 7, reportIntervalMs: 50, slots: 16, sendsUrgent: true };
  const today = countLate(site);
  const own = countLate({ ...site, fairness: RoomFairness.Own });
  const shared = countLate({ ...site, fairness: RoomFairness.Shared });
  const reserved = countLate({ ...site, fairness: RoomFairness.Reserved });
  const oracle = countLate({ ...site, vms: 1, fairness: RoomFairness.Own });
  const large = { ...site, vms: 75, reportIntervalMs: 200 };
  const largeToday = countLate(large);
  const largeReserved = countLate({ ...large, fairness: RoomFairness.Reserved });
  const results = { today, own, shared, reserved, oracle, largeToday, largeReserved };
  context.diagnostic(`late: ${JSON.stringify(results)}`);
  // At least half of what one queue for all VMs would save.
  for (const [before, after] of [
    [today, reserved],
    [largeToday, largeReserved],
  ] as const) {
    const bound = (before.others + oracle.others) / 2;
    assert.ok(after.others <= bound, `${after.others} against ${before.others}`);
  }
});

test('a pass over 400 queued requests takes less than 20 microseconds a request', () => {
  const requests = Array.from({ length: 400 }, (_, index) => buildRequest(`w${index % 24}`));
  const measureUs = (): number => {
    const startMs = performance.now();
    rankWaiting(requests, 0, (workspace) => hashText(workspace) % 1_000);
    return ((performance.now() - startMs) * 1_000) / requests.length;
  };
  const fastestUs = Math.min(...Array.from({ length: 50 }, measureUs));
  assert.ok(fastestUs < 20, `${fastestUs} us`);
});
