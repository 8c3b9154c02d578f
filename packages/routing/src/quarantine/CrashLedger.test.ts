import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { CrashLedger } from './CrashLedger.js';

import type { Fingerprint, UpstreamId } from '@sardinegrade/common';

const POISON = toBranded<Fingerprint>('poison');
const INNOCENT = toBranded<Fingerprint>('innocent');
const FIRST = toBranded<UpstreamId>('w1');
const SECOND = toBranded<UpstreamId>('w2');

test('the request that was there at two crashes is refused; what ran beside it once is not', () => {
  const ledger = new CrashLedger();
  ledger.recordBroken(POISON, FIRST, 0);
  ledger.recordBroken(INNOCENT, FIRST, 0);
  assert.equal(ledger.recordDeath(FIRST, 100).length, 2);
  assert.equal(ledger.isQuarantined(POISON, 100), false);
  ledger.recordBroken(POISON, SECOND, 200);
  ledger.recordDeath(SECOND, 300);
  assert.equal(ledger.isQuarantined(POISON, 300), true);
  assert.equal(ledger.isQuarantined(INNOCENT, 300), false);
});

test('a broken send on a worker that lives is no crash', () => {
  const ledger = new CrashLedger();
  ledger.recordBroken(POISON, FIRST, 0);
  assert.deepEqual(ledger.recordDeath(FIRST, 9_000), []);
});

test('crashes that other VMs tell of count, each once', () => {
  const ledger = new CrashLedger();
  assert.equal(ledger.addCrash({ fingerprint: POISON, upstream: FIRST }, 0), true);
  assert.equal(ledger.addCrash({ fingerprint: POISON, upstream: FIRST }, 0), false);
  assert.equal(ledger.isQuarantined(POISON, 0), false);
  ledger.addCrash({ fingerprint: POISON, upstream: SECOND }, 0);
  assert.equal(ledger.isQuarantined(POISON, 0), true);
  assert.equal(ledger.isQuarantined(POISON, 600_001), false);
});

test('the same worker that crashes twice under a request, as one life after another, counts twice', () => {
  const ledger = new CrashLedger();
  ledger.addCrash({ fingerprint: POISON, upstream: toBranded('w1@1') }, 0);
  ledger.addCrash({ fingerprint: POISON, upstream: toBranded('w1@2') }, 0);
  assert.equal(ledger.isQuarantined(POISON, 0), true);
});
