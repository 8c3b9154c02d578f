import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { toBranded } from '@sardinegrade/common';

import {
  buildTestConfiguration,
  formatAnswer,
  readHeader,
  startTestFleet,
  startTestForwarder,
  startTestWorkers,
} from '../testing/index.js';

import type { TestContext } from 'node:test';
import type { TestAnswer, TestForwarder, WorkerScript } from '../testing/index.js';

const WORKERS = 2;

/** Interval between two requests to one VM, in milliseconds. */
const REQUEST_INTERVAL_MS = 200;

/** The operators' rule: this many requests from this time after such an answer, in milliseconds, to the end of its time. */
const ALLOWED_REQUESTS = 2;
const REACTION_MS = 500;

const PAUSE_S = 2.5;

/** How long the worker serves requests first, and turns them away then, in milliseconds. */
const SERVING_MS = 1_000;
const REJECTING_MS = 3_000;

const MS_PER_SECOND = 1_000;

const POLL_INTERVAL_MS = 10;

const UNAVAILABLE = '503 Service Unavailable';

const addHeader = (answer: string, header: string): string =>
  answer.replace('seal: s', `seal: s\r\n${header}`);

/** Formats the answer of a worker that turns a request away and wants nothing for a time. */
const formatRejection = (head: string, retryAfter: string): string =>
  addHeader(formatAnswer(head, '', UNAVAILABLE), `not-run: 1\r\nretry-after: ${retryAfter}`);

/** A request at the rejecting worker, and whether it was turned away. */
interface Arrival {
  readonly vm: string;
  readonly atMs: number;
  readonly isRejected: boolean;
}

interface PauseSite {
  readonly forwarders: readonly TestForwarder[];
  readonly arrivals: readonly Arrival[];
}

/** Starts a fleet with one worker that turns requests away for a time, and serves them before and afterwards. */
const startPauseSite = async (
  context: TestContext,
  vms: number,
  subnet: number,
): Promise<PauseSite> => {
  const arrivals: Arrival[] = [];
  const answerPaused: WorkerScript = (socket, head) => {
    const atMs = performance.now();
    const sinceMs = atMs - (arrivals[0]?.atMs ?? atMs) - SERVING_MS;
    const isRejected = sinceMs >= 0 && sinceMs < REJECTING_MS;
    arrivals.push({ vm: readHeader(head, 'vm'), atMs, isRejected });
    socket.write(isRejected ? formatRejection(head, String(PAUSE_S)) : formatAnswer(head, 'done'));
  };
  const serve: WorkerScript = (socket, head) => socket.write(formatAnswer(head, 'done'));
  const scripts = [answerPaused, ...Array.from({ length: WORKERS - 1 }, () => serve)];
  const workers = await startTestWorkers(context, scripts);
  const configuration = buildTestConfiguration();
  const forwarders = await startTestFleet(context, { vms, subnet, workers, configuration });
  return { forwarders, arrivals };
};

const sendRequests = async (
  forwarders: readonly TestForwarder[],
  durationMs: number,
): Promise<readonly TestAnswer[]> => {
  const endMs = performance.now() + durationMs;
  const calls: Promise<TestAnswer>[] = [];
  while (performance.now() < endMs) {
    for (const [index, forwarder] of forwarders.entries()) {
      calls.push(forwarder.call('unsafe', { vm: String(index) }));
      await sleep(REQUEST_INTERVAL_MS / forwarders.length);
    }
  }
  return Promise.all(calls);
};

/** Counts the most requests of one VM within the time of one answer. */
const countWorstPause = (arrivals: readonly Arrival[]): number => {
  const counts = arrivals
    .filter(({ isRejected }) => isRejected)
    .map(
      (rejected) =>
        arrivals.filter(
          ({ vm, atMs }) =>
            vm === rejected.vm &&
            atMs > rejected.atMs + REACTION_MS &&
            atMs <= rejected.atMs + PAUSE_S * MS_PER_SECOND,
        ).length,
    );
  return Math.max(0, ...counts);
};

for (const { vms, subnet } of [
  { vms: 1, subnet: 74 },
  { vms: 7, subnet: 75 },
  { vms: 24, subnet: 76 },
]) {
  test(`a worker that names a time for the retry gets nothing of ${vms} VMs until then, and callers are served`, async (context) => {
    const { forwarders, arrivals } = await startPauseSite(context, vms, subnet);
    const answers = await sendRequests(forwarders, SERVING_MS + 2.5 * REJECTING_MS);
    const worst = countWorstPause(arrivals);
    assert.ok(worst <= ALLOWED_REQUESTS, `${worst} of one VM`);
    const unserved = answers.filter(({ status }) => status !== 200).length;
    assert.equal(unserved, 0, `${unserved} of ${answers.length} not served`);
    assert.equal(arrivals.at(-1)?.isRejected, false, 'the worker is used again');
  });
}

test('if all workers name a time that callers have, requests wait for it and are served', async (context) => {
  const pauseMs = 500;
  const untilMs: number[] = [];
  const answerPaused =
    (index: number): WorkerScript =>
    (socket, head) => {
      const nowMs = performance.now();
      untilMs[index] ??= nowMs + pauseMs;
      const isRejected = nowMs < (untilMs[index] ?? 0);
      const retryAfter = String(pauseMs / MS_PER_SECOND);
      socket.write(isRejected ? formatRejection(head, retryAfter) : formatAnswer(head, 'done'));
    };
  const scripts = [answerPaused(0), answerPaused(1)];
  const { call, logLines } = await startTestForwarder(context, scripts);
  const first = call('unsafe');
  const countRejected = (): number =>
    logLines.filter((line) => line.includes('rejected with 503')).length;
  const deadlineMs = performance.now() + pauseMs;
  while (countRejected() < 2 && performance.now() < deadlineMs) await sleep(POLL_INTERVAL_MS);
  const others = Array.from({ length: 10 }, () => call('unsafe'));
  const answers = await Promise.all([first, ...others]);
  const unserved = answers.filter(({ status }) => status !== 200).length;
  assert.equal(unserved, 0, `${unserved} of ${answers.length} not served`);
});

test('if all workers name a longer time, callers are refused as not run and told when to return', async (context) => {
  const pauseS = 30;
  const reject: WorkerScript = (socket, head) => {
    socket.write(formatRejection(head, String(pauseS)));
  };
  const { call, workers } = await startTestForwarder(context, [reject, reject]);
  const first = await call('safe');
  const others = await Promise.all(Array.from({ length: 10 }, () => call('safe')));
  for (const answer of [first, ...others]) {
    assert.equal(answer.status, 503);
    assert.match(answer.body, /"run":"not_run"/);
    const retryAfterS = Number(answer.headers['retry-after']);
    assert.ok(retryAfterS > pauseS - 2, `told to return after ${retryAfterS} s`);
  }
  const sends = workers.reduce((sum, { heads }) => sum + heads.length, 0);
  assert.equal(sends, workers.length);
});

test('workers that fail with 503 and name a time get nothing until then either', async (context) => {
  const answerFailure: WorkerScript = (socket, head) => {
    socket.write(addHeader(formatAnswer(head, '', UNAVAILABLE), `retry-after: ${PAUSE_S}`));
  };
  const { call, workers } = await startTestForwarder(context, [answerFailure, answerFailure]);
  for (let count = 0; count < 10; count += 1) await call('safe');
  const sends = workers.reduce((sum, { heads }) => sum + heads.length, 0);
  assert.equal(sends, workers.length);
});

test('a time that is no decimal number of seconds is ignored, and logged once per worker', async (context) => {
  const invalid = [
    'soon',
    '-1',
    '1e9',
    '9999999999',
    'Wed, 21 Oct 2026 07:28:00 GMT',
    '1\r\nretry-after: 2',
  ];
  const scripts = invalid.map((value): WorkerScript => (socket, head) => {
    socket.write(formatRejection(head, value));
  });
  const { call, workers, logLines } = await startTestForwarder(context, scripts);
  for (let count = 0; count < 20; count += 1) await call('safe');
  for (const [index, { heads }] of workers.entries()) {
    assert.ok(heads.length > 1, `${invalid[index]} is respected`);
    const lines = logLines.filter(
      (line) => line.includes('notice of a worker ignored') && line.includes(`"w${index}"`),
    );
    assert.equal(lines.length, 1, `${lines.length} lines for ${invalid[index]}`);
  }
});

for (const status of ['200 OK', '500 Internal Server Error', '421 Misdirected Request']) {
  test(`a time for the retry in an answer with ${status} says nothing`, async (context) => {
    const { call, workers, logLines } = await startTestForwarder(context, [
      (socket, head) => socket.write(addHeader(formatAnswer(head, '', status), 'retry-after: 30')),
    ]);
    for (let count = 0; count < 3; count += 1) await call('unsafe');
    assert.ok((workers[0]?.heads.length ?? 0) >= 3);
    assert.ok(!logLines.some((line) => line.includes('worker named a time')));
  });
}

/** Failures after which the worker that is gone is ejected for longer than the other one pauses. */
const FAILURES = 6;

const SHORT_PAUSE_S = 0.3;

// Guards against requests that use up their sends at a worker that is gone, while another one accepts them soon.
test('requests wait for a worker that wants none for a time if all others are ejected', async (context) => {
  let isPausing = true;
  const answerPaused: WorkerScript = (socket, head) =>
    socket.write(
      isPausing ? formatRejection(head, String(SHORT_PAUSE_S)) : formatAnswer(head, 'done'),
    );
  const forwarder = await startTestForwarder(context, [answerPaused, () => undefined]);
  forwarder.workers[1]?.close();
  const service = buildTestConfiguration().services.get(toBranded('desk'));
  assert.ok(service !== undefined);
  const { records } = forwarder.state.fleet.listCandidates(service, performance.now());
  const gone = records.find(({ worker }) => worker.id === 'w1');
  assert.ok(gone !== undefined);
  await forwarder.call('unsafe', { 'request-id': 'f' }, 'body');
  for (let count = 0; count < FAILURES; count += 1) {
    gone.health.recordFailure(performance.now(), true);
  }
  const sendsBefore = forwarder.logLines.filter((line) => line.includes('send failed')).length;
  isPausing = false;
  const { status } = await forwarder.call('unsafe', { 'request-id': 'r' }, 'body');
  const sendsAfter = forwarder.logLines.filter((line) => line.includes('send failed')).length;
  assert.deepEqual([status, sendsAfter - sendsBefore], [200, 0]);
});
