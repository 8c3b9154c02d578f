import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { CrashTracker } from './CrashTracker.js';

import type { Fingerprint, UpstreamId } from '@sardinegrade/common';

const POISON = toBranded<Fingerprint>('poison');
const UNRELATED = toBranded<Fingerprint>('innocent');
const FIRST = toBranded<UpstreamId>('w1');
const SECOND = toBranded<UpstreamId>('w2');

test('a request that ran during two crashes is quarantined; one that ran during one of them is not', () => {
  const tracker = new CrashTracker();
  tracker.recordBrokenSend(POISON, FIRST, 0);
  tracker.recordBrokenSend(UNRELATED, FIRST, 0);
  assert.equal(tracker.recordInstanceEnd(FIRST, 100).length, 2);
  assert.equal(tracker.isQuarantined(POISON, 100), false);
  tracker.recordBrokenSend(POISON, SECOND, 200);
  tracker.recordInstanceEnd(SECOND, 300);
  assert.equal(tracker.isQuarantined(POISON, 300), true);
  assert.equal(tracker.isQuarantined(UNRELATED, 300), false);
});

test('an interrupted send on a worker that keeps running does not count as a crash', () => {
  const tracker = new CrashTracker();
  tracker.recordBrokenSend(POISON, FIRST, 0);
  assert.deepEqual(tracker.recordInstanceEnd(FIRST, 9_000), []);
});

test('crashes that other VMs report are counted, each once', () => {
  const tracker = new CrashTracker();
  assert.equal(tracker.addCrash({ fingerprint: POISON, upstream: FIRST }, 0), true);
  assert.equal(tracker.addCrash({ fingerprint: POISON, upstream: FIRST }, 0), false);
  assert.equal(tracker.isQuarantined(POISON, 0), false);
  tracker.addCrash({ fingerprint: POISON, upstream: SECOND }, 0);
  assert.equal(tracker.isQuarantined(POISON, 0), true);
  assert.equal(tracker.isQuarantined(POISON, 600_001), false);
});

test('two crashes of the same worker, in consecutive instances, count as two', () => {
  const tracker = new CrashTracker();
  tracker.addCrash({ fingerprint: POISON, upstream: toBranded('w1@1') }, 0);
  tracker.addCrash({ fingerprint: POISON, upstream: toBranded('w1@2') }, 0);
  assert.equal(tracker.isQuarantined(POISON, 0), true);
});
