import assert from 'node:assert/strict';
import { test } from 'node:test';

import { computePriorityRank } from './computePriorityRank.js';

test("a workspace's priority takes precedence over the route's", () => {
  assert.ok(computePriorityRank(0, 2) < computePriorityRank(1, 0));
});

test("among workspaces of equal priority the route's priority decides", () => {
  assert.ok(computePriorityRank(1, 0) < computePriorityRank(1, 1));
  assert.ok(computePriorityRank(1, 1) < computePriorityRank(1, 2));
  assert.ok(computePriorityRank(undefined, 0) < computePriorityRank(undefined, 2));
});

test('every rank is in the range that engines support', () => {
  for (const workspace of [undefined, 0, 1, 2, 7]) {
    for (const route of [0, 1, 2, 9]) {
      const rank = computePriorityRank(workspace, route);
      assert.ok(Number.isInteger(rank) && rank >= 0 && rank <= 9);
    }
  }
});
