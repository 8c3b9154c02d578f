import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { RouteKind } from '../configuration/index.js';
import { computePatienceMs, shouldGiveUp } from './computePatience.js';
import { computeRetryAfterMs } from './computeRetryAfter.js';

import type { Route } from '../configuration/index.js';

const HISTORY: Route = {
  name: toBranded('history'),
  host: 'desk.example',
  pathPrefix: '/history/',
  kind: RouteKind.Streaming,
  timeoutMs: 10_000,
  targetMs: 1_500,
  priority: 2,
  maxAttempts: 1,
  isPublic: false,
  isResumable: false,
  eventGapMs: 800,
  shares: [],
};

test('a request is given up while its caller still waits, and not before a late answer is out of reach', () => {
  const patienceMs = computePatienceMs(HISTORY);
  assert.equal(patienceMs, 6_400);
  assert.equal(shouldGiveUp(HISTORY, HISTORY.targetMs), false);
  assert.equal(shouldGiveUp(HISTORY, patienceMs * 0.75), true);
});

test('callers that are refused together come back spread over time, within a third of what they have', () => {
  const random = createRandomSource(1);
  const waits = Array.from({ length: 200 }, () => computeRetryAfterMs(3_000, random));
  assert.ok(Math.max(...waits) <= 1_000);
  assert.ok(Math.max(...waits) - Math.min(...waits) > 400);
  const early = waits.filter((wait) => wait < 750).length;
  assert.ok(early > 60 && early < 140, String(early));
});
