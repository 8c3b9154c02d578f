import assert from 'node:assert/strict';
import { test } from 'node:test';

import { PermitRefusal } from './enums.js';
import { findPermitRefusal } from './permit.js';

const HELD = { fence: 7, confirmedAtMs: 1_000, suspectedAtMs: undefined, isLeaving: false };

test('a call is permitted only with a lease, and after a suspicion only by a renewal sent later', () => {
  assert.equal(findPermitRefusal(HELD), undefined);
  assert.equal(findPermitRefusal({ ...HELD, isLeaving: true }), PermitRefusal.Leaving);
  assert.equal(findPermitRefusal({ ...HELD, fence: undefined }), PermitRefusal.NotHeld);
  assert.equal(findPermitRefusal({ ...HELD, suspectedAtMs: 999 }), undefined);
  for (const suspectedAtMs of [1_000, 1_001]) {
    assert.equal(findPermitRefusal({ ...HELD, suspectedAtMs }), PermitRefusal.Suspended);
  }
});
