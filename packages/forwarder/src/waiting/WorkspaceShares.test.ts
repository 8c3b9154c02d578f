import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { hashText, toBranded } from '@sardinegrade/common';
import { SharedLoadView } from '@sardinegrade/routing';

import {
  buildTestConfiguration,
  formatAnswer,
  readHeader,
  startTestForwarder,
} from '../testing/index.js';
import { WorkspaceShares } from './WorkspaceShares.js';

import type { ServiceName, WorkspaceName } from '@sardinegrade/common';
import type { KeyHolder } from '@sardinegrade/routing';

const NAMES = ['hule930', 'fida11', 'orla4'].map((name) => toBranded<WorkspaceName>(name));

const buildHolders = (names: readonly WorkspaceName[]): ReadonlyMap<string, KeyHolder> =>
  new Map(names.map((workspace) => [`key-${workspace}`, { workspace, priority: 1 }]));

const buildShares = (waiting: number, names = NAMES): WorkspaceShares => {
  const view = new SharedLoadView();
  const shares = new WorkspaceShares(view, () => 0);
  shares.setHolders(buildHolders(names));
  const [first] = NAMES;
  if (first !== undefined) shares.record(first, 90_000);
  view.apply(
    {
      vm: toBranded('vm-1'),
      startedAtMs: 1,
      sequence: 1,
      engines: new Map(),
      waiting: { requests: waiting, promptTokens: 0 },
      work: new Map(NAMES.map((name) => [hashText(name), 10_000])),
      vmCount: 1,
    },
    0,
  );
  return shares;
};

test('a workspace with more than its share leaves a part of the engine only while requests wait elsewhere', () => {
  const listShares = (shares: WorkspaceShares): readonly number[] =>
    NAMES.map((name) => shares.computeRoomShare(name));
  assert.deepEqual(listShares(buildShares(3)), [0.875, 1, 1]);
  assert.deepEqual(listShares(buildShares(0)), [1, 1, 1]);
});

test('nothing is counted or restricted where all keys belong to one workspace', () => {
  const shares = buildShares(3, NAMES.slice(0, 1));
  assert.equal(shares.listOwn().size, 0);
  assert.equal(shares.computeRoomShare(NAMES[0]), 1);
  assert.deepEqual(shares.list(), []);
});

test('a decision for one of 32 workspaces takes less than 20 microseconds', () => {
  const names = Array.from({ length: 32 }, (_, index) => toBranded<WorkspaceName>(`w${index}`));
  const shares = buildShares(3, names);
  for (const name of names) shares.record(name, 10_000);
  const measureUs = (): number => {
    const startMs = performance.now();
    for (const name of names) shares.computeRoomShare(name);
    return ((performance.now() - startMs) * 1_000) / names.length;
  };
  const fastestUs = Math.min(...Array.from({ length: 100 }, measureUs));
  assert.ok(fastestUs < 20, `${fastestUs} us`);
});

// Guards against a queue in which the requests of a busy workspace go before those of one that had nothing yet.
test('a free slot goes to the queued request of the workspace that has had the least work', async (context) => {
  const answers: (() => void)[] = [];
  const engine = { slots: 1, cacheTokens: 600_000 };
  const desk = { name: toBranded<ServiceName>('desk'), connectionLimit: 100, engine };
  const forwarder = await startTestForwarder(
    context,
    [(socket, head) => answers.push(() => socket.write(formatAnswer(head, 'done')))],
    buildTestConfiguration({
      keyHolders: buildHolders(NAMES),
      services: new Map([[desk.name, desk]]),
    }),
  );
  const calls: ReturnType<typeof forwarder.call>[] = [];
  for (const [index, name] of ['hule930', 'hule930', 'hule930', 'fida11'].entries()) {
    const headers = { tokens: '10', 'request-id': `${name}-${index}`, key: `key-${name}` };
    calls.push(forwarder.call('unsafe', headers, 'body'));
    await sleep(40);
  }
  while (forwarder.workers[0]?.heads.length !== calls.length) {
    answers.shift()?.();
    await sleep(5);
  }
  const ids = forwarder.workers[0].heads.map((head) => readHeader(head, 'request-id'));
  assert.deepEqual(ids, ['hule930-0', 'fida11-3', 'hule930-1', 'hule930-2']);
  answers.shift()?.();
  await Promise.all(calls);
});
