import assert from 'node:assert/strict';
import { test } from 'node:test';

import { DutyOutcome } from '../enums.js';
import {
  computeInForce,
  isUndelivered,
  NO_ORDER,
  recordOrder,
  recordOutcome,
  recordReady,
  SETTLE_MS,
} from './orderBook.js';

const BOOT_MS = 4_000;

// Guards against a shortage after a crash at a crest: the workers were there, so the data centre delivers.
test('workers that are lost after an order was delivered are missing at once, and can be ordered there', () => {
  const sent = recordOrder(NO_ORDER, 10, 5, 0);
  const accepted = recordOutcome(sent, DutyOutcome.Accepted, 10);
  const partial = recordReady(accepted, 8);
  assert.equal(computeInForce(partial, 8, BOOT_MS, 5_000), 10);
  assert.equal(isUndelivered(partial, 8, BOOT_MS, BOOT_MS + SETTLE_MS + 1_000), true);
  const delivered = recordReady(partial, 10);
  assert.equal(computeInForce(delivered, 7, BOOT_MS, 5_000), 7);
  assert.equal(isUndelivered(delivered, 7, BOOT_MS, BOOT_MS + SETTLE_MS + 1_000), false);
});

// Guards against a reduction that is ordered again and again while its workers still drain.
test('an order of fewer workers counts until its workers have gone', () => {
  const accepted = recordOutcome(recordOrder(NO_ORDER, 5, 8, 0), DutyOutcome.Accepted, 10);
  assert.equal(computeInForce(recordReady(accepted, 8), 8, BOOT_MS, 1_000), 5);
});

// Guards against lost workers that a repeated order hides: it names the number of those that were ready.
test('workers that are lost after an order was repeated are missing at once', () => {
  const accepted = recordOutcome(recordOrder(NO_ORDER, 10, 10, 0), DutyOutcome.Accepted, 10);
  assert.equal(computeInForce(accepted, 7, BOOT_MS, 1_000), 7);
});
