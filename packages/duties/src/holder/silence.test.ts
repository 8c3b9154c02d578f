import assert from 'node:assert/strict';
import { test } from 'node:test';

import { NO_SILENCE, recordResponse, shouldRelease } from './silence.js';

test('the lease is released after three calls in series without a response over four seconds', () => {
  const first = recordResponse(NO_SILENCE, false, 1_000);
  const second = recordResponse(first, false, 3_000);
  const third = recordResponse(second, false, 4_999);
  assert.equal(shouldRelease(recordResponse(first, false, 9_000)), false);
  assert.equal(shouldRelease(third), false);
  const fourth = recordResponse(third, false, 5_000);
  assert.equal(shouldRelease(fourth), true);
  assert.equal(shouldRelease(recordResponse(fourth, true, 5_000)), false);
});

// Guards against a release, with its pause of the duties, after one short disturbance that hit several calls at once.
test('calls that fail together do not become a longer silence while no call is made', () => {
  let silence = NO_SILENCE;
  for (const atMs of [1_000, 1_010, 1_020]) silence = recordResponse(silence, false, atMs);
  assert.equal(shouldRelease(silence), false);
});
