import assert from 'node:assert/strict';
import { test } from 'node:test';

import { NO_SILENCE, recordResponse, shouldRelease } from './silence.js';

test('the lease is released after three calls in series without a response over four seconds', () => {
  const first = recordResponse(NO_SILENCE, false, 1_000);
  const second = recordResponse(first, false, 3_000);
  const third = recordResponse(second, false, 4_000);
  assert.equal(shouldRelease(second, 9_000), false);
  assert.equal(shouldRelease(third, 4_999), false);
  assert.equal(shouldRelease(third, 5_000), true);
  assert.equal(shouldRelease(recordResponse(third, true, 5_000), 9_000), false);
});
