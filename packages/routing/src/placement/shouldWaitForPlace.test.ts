import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createRandomSource } from '@sardinegrade/dispatch';

import { shouldWaitForPlace } from './shouldWaitForPlace.js';

const ROUTE = { targetMs: 400, eventGapMs: 0 };
const TIMES = { waitedMs: 0, timeoutMs: 4_000, waitingRequests: 3, draw: 0.2 };
const TAKEN = { runs: 12, slots: 6, isAvoided: false };

test('a request waits while all places are taken, and is sent well before its deadline in any case', () => {
  assert.equal(shouldWaitForPlace([TAKEN, TAKEN], ROUTE, TIMES), true);
  assert.equal(shouldWaitForPlace([TAKEN, { ...TAKEN, runs: 5 }], ROUTE, TIMES), false);
  assert.equal(shouldWaitForPlace([TAKEN], ROUTE, { ...TIMES, waitedMs: 1_000 }), false);
  const short = { ...TIMES, waitedMs: 350, timeoutMs: 1_000 };
  assert.equal(shouldWaitForPlace([TAKEN], ROUTE, short), false);
});

test('places to wait at a worker are shared out by chance among all that wait', () => {
  const views = [{ ...TAKEN, runs: 8 }];
  const isSent = (draw: number): boolean => !shouldWaitForPlace(views, ROUTE, { ...TIMES, draw });
  // Four places for four requests, over the eight passes until the next report.
  assert.deepEqual([isSent(0.12), isSent(0.13)], [true, false]);
});

test('workers that are avoided neither keep a request waiting nor count as free, and unknown slots are free', () => {
  const avoided = { ...TAKEN, runs: 0, isAvoided: true };
  assert.equal(shouldWaitForPlace([avoided, TAKEN], ROUTE, TIMES), true);
  assert.equal(shouldWaitForPlace([{ ...TAKEN, isAvoided: true }], ROUTE, TIMES), false);
  assert.equal(shouldWaitForPlace([{ ...TAKEN, slots: 0 }], ROUTE, TIMES), false);
});

const STEP_MS = 5;
const REPORT_MS = 200;
const PASS_MS = 25;
const WORK_MS = 300;
const SLOTS = 6;
const REJECTED_RUNS = 3 * SLOTS;
const MAX_SENDS = 3;
const TIMEOUT_MS = 4_000;

interface PlainRequest {
  readonly arrivedAtMs: number;
  sends: number;
  endAtMs: number;
}

/** Replays many VMs that send to three workers, which reject what exceeds three times their slots. */
const countResults = (canWait: boolean, seed: number): Record<'lost' | 'rejected', number> => {
  const random = createRandomSource(seed);
  // 60 requests a second are the capacity of the workers; twice as many arrive for 3 s.
  const requests = Array.from({ length: 360 }, (): PlainRequest => {
    return { arrivedAtMs: random() * 3_000, sends: 0, endAtMs: Infinity };
  }).sort((left, right) => left.arrivedAtMs - right.arrivedAtMs);
  const workers = Array.from({ length: 3 }, (): PlainRequest[] => []);
  let reported = workers.map(() => 0);
  let waiting: PlainRequest[] = [];
  let reportedWaiting = 0;
  const counts = { lost: 0, rejected: 0 };
  for (let nowMs = 0; nowMs < 3_000 + TIMEOUT_MS; nowMs += STEP_MS) {
    for (const [index, runs] of workers.entries()) {
      workers[index] = runs.filter(({ endAtMs }) => endAtMs > nowMs);
      for (const run of workers[index].slice(0, SLOTS))
        if (run.endAtMs === Infinity) run.endAtMs = nowMs + WORK_MS;
    }
    if (nowMs % REPORT_MS === 0) {
      reported = workers.map(({ length }) => length);
      reportedWaiting = waiting.length;
    }
    waiting.push(
      ...requests.filter(({ arrivedAtMs: atMs }) => atMs > nowMs - STEP_MS && atMs <= nowMs),
    );
    for (const request of waiting) {
      if (request.sends === 0 && (nowMs - Math.floor(request.arrivedAtMs)) % PASS_MS >= STEP_MS)
        continue;
      const views = reported.map((runs) => ({ runs, slots: SLOTS, isAvoided: false }));
      const seeker = {
        waitedMs: nowMs - request.arrivedAtMs,
        timeoutMs: TIMEOUT_MS,
        waitingRequests: reportedWaiting,
        draw: random(),
      };
      if (canWait && shouldWaitForPlace(views, ROUTE, seeker)) continue;
      const order = reported.map((runs, index) => ({ index, cost: runs + random() * 2 }));
      const chosen = order.sort((left, right) => left.cost - right.cost)[0]?.index ?? 0;
      request.sends += 1;
      if ((workers[chosen]?.length ?? 0) < REJECTED_RUNS) workers[chosen]?.push(request);
      else {
        counts.rejected += 1;
        if (request.sends < MAX_SENDS) continue;
        counts.lost += 1;
      }
      waiting = waiting.filter((other) => other !== request);
    }
  }
  return counts;
};

// Guards against requests that are sent to full workers until no send is left.
test('a burst of twice the capacity of few workers: fewer rejections and fewer lost requests', (context) => {
  for (const seed of [1, 2, 3, 4]) {
    const today = countResults(false, seed);
    const held = countResults(true, seed);
    context.diagnostic(JSON.stringify({ seed, today, held }));
    assert.ok(held.rejected < today.rejected, `${held.rejected} against ${today.rejected}`);
    assert.ok(held.lost < today.lost, `${held.lost} against ${today.lost}`);
  }
});
