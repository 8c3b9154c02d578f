import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { RouteKind } from '../configuration/index.js';
import { RankTable } from './RankTable.js';

import type { ServiceName } from '@sardinegrade/common';
import type { KeyHolder, Route } from '../configuration/index.js';

const SERVICE: ServiceName = toBranded('engines');

const buildRoute = (priority: number, part: Partial<Route> = {}): Route => ({
  name: toBranded(`r${priority}`),
  host: 'h',
  pathPrefix: '/',
  kind: RouteKind.Streaming,
  timeoutMs: 8_000,
  targetMs: 300,
  priority,
  maxRuns: 1,
  isPublic: false,
  isResumable: false,
  eventGapMs: 0,
  shares: [{ service: SERVICE, weight: 1 }],
  ...part,
});

const buildHolders = (...priorities: readonly number[]): ReadonlyMap<string, KeyHolder> =>
  new Map(priorities.map((priority) => [`k${priority}`, { workspace: toBranded('w'), priority }]));

const listUrgent = (table: RankTable): readonly number[] =>
  Array.from({ length: 10 }, (_, rank) => rank).filter((rank) => table.isMostUrgent(SERVICE, rank));

test('the most urgent rank is that of the most urgent workspace at the most urgent route of the service', () => {
  assert.deepEqual(listUrgent(new RankTable([buildRoute(0), buildRoute(2)])), [0, 1, 2, 3]);
  const keyed = new RankTable([buildRoute(1), buildRoute(2)], buildHolders(2, 1));
  assert.deepEqual(listUrgent(keyed), [0, 1, 2, 3, 4]);
});

// Guards against a service whose requests are all equal and would all be sent to full engines.
test('no request is urgent if all of a service have the same rank', () => {
  assert.deepEqual(listUrgent(new RankTable([buildRoute(1)])), []);
  const unused = buildRoute(0, { shares: [{ service: SERVICE, weight: 0 }] });
  assert.deepEqual(listUrgent(new RankTable([buildRoute(1), unused], buildHolders(1))), []);
  assert.deepEqual(listUrgent(new RankTable([])), []);
});

test('requests without a key count where they are served: at public routes, or in a deployment without keys', () => {
  const open = buildRoute(0, { isPublic: true });
  assert.deepEqual(listUrgent(new RankTable([open], buildHolders(2))), [0, 1, 2, 3]);
  assert.deepEqual(listUrgent(new RankTable([buildRoute(0)], buildHolders(2))), []);
});
