import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ResultCode } from '@sardinegrade/common';

import { FIRST_DECISION_LIMIT, LAST_DECISION_LIMIT } from './constants.js';
import { createRequestJournal } from './createRequestJournal.js';
import { DecisionKind } from './enums.js';

const createFixture = (limit: number) => {
  const time = { nowMs: 100 };
  const journal = createRequestJournal({ getNowMs: () => time.nowMs }, limit);
  const start = (requestId: string) => {
    const trail = journal.start({ requestId, workspace: 'rig-desk', traceId: undefined });
    trail.setTarget({ service: 'counter', className: 'query', tier: 'paying' });
    return trail;
  };
  return { time, journal, start };
};

test('an entry has the decisions in order and the result code; later records are ignored', () => {
  const { time, journal, start } = createFixture(10);
  const trail = start('r1');
  trail.record(DecisionKind.Queued, 'third in class query');
  time.nowMs += 40;
  trail.record(DecisionKind.Refused, 'queue full', { code: ResultCode.QueueFull });
  trail.finish(ResultCode.QueueFull);
  trail.record(DecisionKind.Answered, 'too late');
  trail.finish();
  const entry = journal.find('r1');
  assert.equal(entry?.code, ResultCode.QueueFull);
  assert.equal(entry.endedAtMs, 140);
  assert.deepEqual(
    entry.decisions.map(({ atMs, kind }) => [atMs, kind]),
    [
      [100, DecisionKind.Queued],
      [140, DecisionKind.Refused],
    ],
  );
});

test('the oldest entry is evicted, and a repeated id shows its latest request', () => {
  const { journal, start } = createFixture(3);
  for (const requestId of ['r1', 'r2', 'r3', 'r4']) start(requestId);
  assert.equal(journal.find('r1'), undefined);
  start('r2').record(DecisionKind.Received, 'again');
  assert.equal(journal.find('r2')?.decisions.length, 1);
  assert.deepEqual(
    journal.list(2).map((entry) => entry.requestId),
    ['r2', 'r4'],
  );
  assert.deepEqual(journal.list(0), []);
});

test('a request without a target or a decision is not stored', () => {
  const { journal, start } = createFixture(2);
  start('r1');
  for (let number = 0; number < 10; number += 1) {
    journal.start({ requestId: `idle-${number}`, workspace: 'w', traceId: undefined }).finish();
  }
  assert.deepEqual(
    journal.list(10).map(({ requestId }) => requestId),
    ['r1'],
  );
});

test('a request with many decisions keeps the first and the last ones', () => {
  const { journal, start } = createFixture(1);
  const trail = start('r1');
  for (let number = 0; number < 100; number += 1) {
    trail.record(DecisionKind.AttemptStarted, `attempt ${number}`);
  }
  const entry = journal.find('r1');
  assert.equal(entry?.decisions.length, FIRST_DECISION_LIMIT + LAST_DECISION_LIMIT);
  assert.equal(entry.omitted, 100 - FIRST_DECISION_LIMIT - LAST_DECISION_LIMIT);
  assert.equal(entry.decisions.at(0)?.detail, 'attempt 0');
  assert.equal(entry.decisions.at(-1)?.detail, 'attempt 99');
});
