import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { RouteKind } from '../configuration/index.js';
import { LaneTable } from './LaneTable.js';
import { PromptLane } from './shouldWait.js';

import type { ServiceName } from '@sardinegrade/common';
import type { Route } from '../configuration/index.js';

const SERVICE: ServiceName = toBranded('engines');

const buildRoute = (targetMs: number, kind = RouteKind.Streaming): Route => ({
  name: toBranded(`r${targetMs}`),
  host: 'h',
  pathPrefix: '/',
  kind,
  timeoutMs: 8_000,
  targetMs,
  priority: 0,
  maxRuns: 1,
  isPublic: false,
  isResumable: false,
  eventGapMs: 0,
  shares: [{ service: SERVICE, weight: 1 }],
});

const listTight = (targets: readonly number[]): readonly number[] => {
  const table = new LaneTable(targets.map((targetMs) => buildRoute(targetMs)));
  return targets.filter((targetMs) => table.getLane(SERVICE, targetMs) === PromptLane.Tight);
};

// Guards against interactive prompts that share the engines of long ones because their target exceeds a fixed bound.
test('the shortest target of a service is tight if its longest one is a multiple of it', () => {
  assert.deepEqual(listTight([2_027, 619, 411]), [411]);
  assert.deepEqual(listTight([1_500, 600, 300]), [300]);
  assert.deepEqual(listTight([2_500, 300, 500]), [300]);
  assert.deepEqual(listTight([2_000, 300, 400]), [300, 400]);
});

test('targets that are close to each other are not divided into lanes, and plain routes do not count', () => {
  assert.deepEqual(listTight([600, 900]), []);
  const table = new LaneTable([buildRoute(600), buildRoute(5_000, RouteKind.Safe)]);
  assert.equal(table.getLane(SERVICE, 600), PromptLane.Bulk);
  assert.equal(table.getLane(toBranded('unknown'), 600), PromptLane.Bulk);
});
