import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { chooseService } from './chooseService.js';
import { RouteKind } from './enums.js';
import { RouteTable } from './RouteTable.js';

import type { Route, ServiceShare } from './types.js';

const buildRoute = (host: string, pathPrefix: string): Route => ({
  name: toBranded(`${host}${pathPrefix}`),
  host,
  pathPrefix,
  kind: RouteKind.Safe,
  timeoutMs: 1_000,
  targetMs: 100,
  priority: 0,
  maxRuns: 1,
  isPublic: false,
  isResumable: false,
  eventGapMs: 0,
  shares: [],
});

const TABLE = new RouteTable([
  buildRoute('a.example', '/x/'),
  buildRoute('a.example', '/x/y/'),
  buildRoute('b.example', '/'),
]);

test('a request gets the route with the longest matching prefix of its host', () => {
  const find = (host: string, target: string) => TABLE.find(host, target)?.name;
  assert.equal(find('a.example', '/x/1'), 'a.example/x/');
  assert.equal(find('a.example', '/x/y/1?q=/x/'), 'a.example/x/y/');
  assert.equal(find('A.example:80', '/x/y/'), 'a.example/x/y/');
  assert.equal(find('b.example', '/anything'), 'b.example/');
});

test('a path that matches no whole prefix, or an unknown host, has no route', () => {
  assert.equal(TABLE.find('a.example', '/x'), undefined);
  assert.equal(TABLE.find('a.example', '/xy/1'), undefined);
  assert.equal(TABLE.find('a.example', '/?p=/x/'), undefined);
  assert.equal(TABLE.find('c.example', '/x/1'), undefined);
});

test('services receive requests in proportion to their weights, and none at weight 0', () => {
  const random = createRandomSource(1);
  const shares: readonly ServiceShare[] = [
    { service: toBranded('big'), weight: 90 },
    { service: toBranded('small'), weight: 10 },
    { service: toBranded('off'), weight: 0 },
  ];
  const counts = new Map<string | undefined, number>();
  for (let index = 0; index < 2_000; index += 1) {
    const service = chooseService(shares, random);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  assert.equal(counts.has('off'), false);
  assert.ok((counts.get('small') ?? 0) > 120 && (counts.get('small') ?? 0) < 280);
  assert.equal(chooseService([], random), undefined);
});
