import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { RouteKind } from '../configuration/index.js';
import { computePatienceMs, shouldRefuse } from './computePatience.js';
import { computeRetryAfterMs } from './computeRetryAfter.js';
import { StreamPace } from './StreamPace.js';

import type { Route } from '../configuration/index.js';

const HISTORY: Route = {
  name: toBranded('history'),
  host: 'desk.example',
  pathPrefix: '/history/',
  kind: RouteKind.Streaming,
  timeoutMs: 10_000,
  targetMs: 1_500,
  priority: 2,
  maxRuns: 1,
  isPublic: false,
  isResumable: false,
  eventGapMs: 800,
  shares: [],
};

test('a queued request is refused before its caller leaves, but not as soon as it misses its target', () => {
  const patienceMs = computePatienceMs(HISTORY);
  assert.equal(patienceMs, 6_400);
  const times = { waitedMs: HISTORY.targetMs, remainingMs: 8_000, prefillMs: 300, streamMs: 900 };
  assert.equal(shouldRefuse(HISTORY, times), false);
  assert.equal(shouldRefuse(HISTORY, { ...times, waitedMs: patienceMs * 0.75 }), true);
});

test('a queued request that can no longer complete in time is refused', () => {
  const pace = new StreamPace();
  const route = HISTORY.name;
  assert.equal(pace.estimateMs(route), 0);
  for (let count = 0; count < 100; count += 1) pace.recordGap(route, 40);
  pace.recordLength(route, 24);
  const times = { waitedMs: 2_000, remainingMs: 5_500, prefillMs: 300, streamMs: 0 };
  assert.equal(shouldRefuse(HISTORY, { ...times, streamMs: pace.estimateMs(route) }), false);
  // Engines that prefill all the time: an event every 237 ms, as traced in the burst of cbcw-desk-grown.
  for (let count = 0; count < 400; count += 1) pace.recordGap(route, 237);
  assert.ok(pace.estimateMs(route) > 5_000);
  assert.equal(shouldRefuse(HISTORY, { ...times, streamMs: pace.estimateMs(route) }), true);
});

test('callers that are refused together retry at different times, within a third of their remaining time', () => {
  const random = createRandomSource(1);
  const waits = Array.from({ length: 200 }, () => computeRetryAfterMs(3_000, random));
  assert.ok(Math.max(...waits) <= 1_000);
  assert.ok(Math.max(...waits) - Math.min(...waits) > 400);
  const early = waits.filter((wait) => wait < 750).length;
  assert.ok(early > 60 && early < 140, String(early));
});
