import assert from 'node:assert/strict';
import { test } from 'node:test';

import { computeUrgency } from './computeUrgency.js';

test("a workspace's priority takes precedence over the route's", () => {
  assert.ok(computeUrgency(0, 2) < computeUrgency(1, 0));
});

test("among workspaces of equal priority the route's priority decides", () => {
  assert.ok(computeUrgency(1, 0) < computeUrgency(1, 1));
  assert.ok(computeUrgency(1, 1) < computeUrgency(1, 2));
  assert.ok(computeUrgency(undefined, 0) < computeUrgency(undefined, 2));
});

test('every rank is in the range that engines support', () => {
  for (const workspace of [undefined, 0, 1, 2, 7]) {
    for (const route of [0, 1, 2, 9]) {
      const rank = computeUrgency(workspace, route);
      assert.ok(Number.isInteger(rank) && rank >= 0 && rank <= 9);
    }
  }
});
