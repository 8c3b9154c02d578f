import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { RouteKind } from '../configuration/index.js';
import { PREFILL_TOKENS_PER_MS } from '../placement/index.js';
import { rankWaiting } from '../waiting/index.js';
import { RefusalSimulation } from '../testing/index.js';
import { shouldRefuseOnArrival } from './computePatience.js';
import { computeRetryAfterMs } from './computeRetryAfter.js';
import { DrainRate } from './DrainRate.js';

import type { Route } from '../configuration/index.js';

const ROUTE: Route = {
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
  eventGapMs: 0,
  shares: [],
};

const listWaits = (remainingMs: number, drainMs: number): readonly number[] => {
  const random = createRandomSource(3);
  return Array.from({ length: 200 }, () => computeRetryAfterMs(remainingMs, random, drainMs));
};

test('refused callers return once the queue is expected to be empty, spread, within a third of their time', () => {
  const waits = listWaits(9_000, 1_200);
  assert.ok(Math.min(...waits) >= 1_200 && Math.max(...waits) <= 3_000);
  assert.ok(Math.max(...waits) - Math.min(...waits) > 400);
});

// Guards against a wait that callers do not honour: they then return at once.
test('a queue that lasts longer than a third of the remaining time does not make callers wait longer', () => {
  for (const remainingMs of [300, 3_000, 9_000]) {
    const waits = listWaits(remainingMs, 20_000);
    assert.ok(Math.max(...waits) <= remainingMs / 3 + 1e-9, `${Math.max(...waits)} ms`);
    assert.ok(Math.min(...waits) >= remainingMs / 3 / 1.5 - 1e-9, `${Math.min(...waits)} ms`);
  }
});

test('what waits is read at the rate of all engines, without what they have cached', () => {
  const rate = new DrainRate();
  const tokens = 1_000 * PREFILL_TOKENS_PER_MS;
  assert.equal(rate.estimateMs(tokens, [0.5, 0.5, 2, 1]), 250);
  assert.equal(rate.estimateMs(0, []), 0);
  assert.equal(rate.estimateMs(tokens, []), Infinity);
  for (let count = 0; count < 400; count += 1) rate.recordSend(10_000, 2_500);
  assert.ok(Math.abs(rate.estimateMs(tokens, [1]) - 250) < 1);
});

test('a request is refused on arrival only if its turn would clearly come too late', () => {
  const times = { waitedMs: 0, remainingMs: 10_000, prefillMs: 100, streamMs: 900 };
  // Callers wait 6 s for the first event of this route, of which 3.6 s may be spent in the queue.
  assert.equal(shouldRefuseOnArrival(ROUTE, 3_700, times), false);
  assert.equal(shouldRefuseOnArrival(ROUTE, 5_500, times), true);
  assert.equal(shouldRefuseOnArrival(ROUTE, 2_000, { ...times, remainingMs: 2_000 }), true);
});

test('a request that has come back goes before others of its rank, but not before more urgent ones', () => {
  const request = { priority: 4, arrivedAtMs: 0, dueAtMs: 900, prefillMs: 100 };
  const returned = { ...request, arrivedAtMs: 800, dueAtMs: 5_000, hasReturned: true };
  const urgent = { ...request, priority: 3 };
  assert.deepEqual(rankWaiting([request, returned, urgent], 500), [urgent, returned, request]);
});

// Guards against requests that are refused only once too little of their time is left to be served.
test('a burst of three times the capacity: refusal on arrival serves at least as many requests', (context) => {
  const results = [1, 2, 3, 4].map((seed) => ({
    today: new RefusalSimulation(ROUTE, false, seed).run(8_000, 3, 90),
    early: new RefusalSimulation(ROUTE, true, seed).run(8_000, 3, 90),
  }));
  context.diagnostic(JSON.stringify(results));
  for (const { today, early } of results)
    assert.ok(early.served >= today.served, `${early.served} against ${today.served}`);
});
