import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { SampleKind, SendFailure } from '@sardinegrade/routing';

import { startTestForwarder } from '../testing/index.js';
import { SendPace } from './SendPace.js';

import type { PaceSample } from '@sardinegrade/routing';
import type { SendEnd } from './sendToWorker.js';

const SEND = { uncachedTokens: 5_660, backlogTokens: 0, runs: 0 };

const FAILED: SendEnd = {
  isComplete: false,
  failure: SendFailure.Rejected,
  reason: 'full',
  head: undefined,
};

const startPace = async (context: Parameters<typeof startTestForwarder>[0]) => {
  const { state } = await startTestForwarder(context, []);
  const worker = {
    id: toBranded<never>('w1'),
    service: toBranded<never>('s'),
    address: '127.0.0.1:1',
    dataCentre: toBranded<never>('dc-a'),
    build: toBranded<never>('v1'),
    slots: 64,
    isLeaving: false,
    startedAtMs: 1,
    sequence: 1,
  };
  const record = state.fleet.getRecord(worker, undefined);
  const samples: PaceSample[] = [];
  state.paces.onSample = (sample) => samples.push(sample);
  return { samples, record, pace: new SendPace(state.paces, record, SEND, 1_000) };
};

test('a stream tells the prefill rate with its first event, and its longest gap at its end', async (context) => {
  const { samples, record, pace } = await startPace(context);
  for (const nowMs of [1_232, 1_300, 1_390, 1_450, 1_500]) pace.recordEvents(nowMs);
  const head = { status: 200, headers: [], metadata: undefined };
  pace.recordEnd({ isComplete: true, head: head as never, pieces: [] });
  assert.deepEqual(samples, [
    // 5,660 tokens take 100 ms at the nominal rate, and the first event 16 ms more: half of the nominal speed.
    { instance: record.instance, kind: SampleKind.OnTime, speed: 0.5, gapMs: undefined },
    { instance: record.instance, kind: SampleKind.StreamEnd, speed: undefined, gapMs: 90 },
  ]);
});

// Guards against a worker that looks slow because callers read slowly.
test('a stream whose caller reads slowly tells nothing about gaps, and a rejection counts as bad', async (context) => {
  const { samples, record, pace } = await startPace(context);
  for (const nowMs of [1_232, 1_300, 3_000, 3_100, 3_200]) pace.recordEvents(nowMs);
  pace.recordHeldUp();
  const head = { status: 200, headers: [], metadata: undefined };
  pace.recordEnd({ isComplete: true, head: head as never, pieces: [] });
  assert.equal(samples.length, 1);
  pace.recordEnd(FAILED);
  assert.deepEqual(samples.at(-1), {
    instance: record.instance,
    kind: SampleKind.Bad,
    speed: undefined,
    gapMs: undefined,
  });
});
