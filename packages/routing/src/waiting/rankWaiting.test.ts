import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createRandomSource } from '@sardinegrade/dispatch';

import { rankWaiting } from './rankWaiting.js';

import type { WaitingRequest } from './rankWaiting.js';

interface NamedRequest extends WaitingRequest {
  readonly name: string;
}

const buildRequest = (name: string, part: Partial<WaitingRequest>): NamedRequest => ({
  name,
  priority: 1,
  arrivedAtMs: 0,
  dueAtMs: 1_500,
  prefillMs: 100,
  ...part,
});

test('urgent requests come first, then those that can still be on time, then late ones by age', () => {
  const requests = [
    buildRequest('late, young', { arrivedAtMs: 50, dueAtMs: 900 }),
    buildRequest('late, old', { arrivedAtMs: 0, dueAtMs: 950 }),
    buildRequest('on time, slack', { dueAtMs: 5_000 }),
    buildRequest('on time, tight', { dueAtMs: 1_200 }),
    buildRequest('urgent but late', { priority: 0, dueAtMs: 10 }),
  ];
  assert.deepEqual(
    rankWaiting(requests, 1_000).map(({ name }) => name),
    ['urgent but late', 'on time, tight', 'on time, slack', 'late, old', 'late, young'],
  );
});

/** Serves requests one after another in the order of a policy, and counts those that are on time. */
const countOnTime = (
  requests: readonly NamedRequest[],
  order: (waiting: readonly NamedRequest[], nowMs: number) => readonly NamedRequest[],
): number => {
  let nowMs = 0;
  let onTime = 0;
  let waiting = [...requests];
  while (waiting.length > 0) {
    const arrived = waiting.filter((request) => request.arrivedAtMs <= nowMs);
    const next = order(arrived, nowMs)[0];
    if (next === undefined) {
      nowMs += 1;
      continue;
    }
    nowMs += next.prefillMs;
    if (nowMs <= next.dueAtMs) onTime += 1;
    waiting = waiting.filter((request) => request !== next);
  }
  return onTime;
};

test('a burst that exceeds the capacity: at least twice as many are on time as with first come, first served', () => {
  for (const seed of [1, 2, 3]) {
    const random = createRandomSource(seed);
    const requests = Array.from({ length: 120 }, (_, index) => {
      // Twice the prefill capacity of one engine, for nine seconds, as in the bursts at the sites.
      const arrivedAtMs = index * 75;
      return buildRequest(`r${index}`, {
        arrivedAtMs,
        dueAtMs: arrivedAtMs + 1_500,
        prefillMs: 60 + random() * 180,
      });
    });
    const ranked = countOnTime(requests, rankWaiting);
    const arrival = countOnTime(requests, (waiting) => waiting);
    assert.ok(ranked >= arrival * 2, `seed ${seed}: ${ranked} against ${arrival}`);
  }
});
