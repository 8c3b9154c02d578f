import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { PollSchedule } from './PollSchedule.js';

import type { VmId } from '@sardinegrade/common';

const INTERVAL_MS = 2_500;
const TICK_MS = 50;
const VMS = Array.from({ length: 75 }, (_item, index): VmId => toBranded(`vm${index}`));

// Guards against bursts of fetches, which delay requests of callers, and against VMs that are left out.
test('each VM is fetched once in an interval, a few at once', () => {
  const schedule = new PollSchedule(INTERVAL_MS);
  const takenAtMs = new Map<VmId, number[]>();
  for (let nowMs = 0; nowMs < 4 * INTERVAL_MS; nowMs += TICK_MS) {
    const taken = schedule.takeDue(VMS, nowMs, 4);
    assert.ok(taken.length <= 4);
    for (const vm of taken) takenAtMs.set(vm, [...(takenAtMs.get(vm) ?? []), nowMs]);
  }
  assert.equal(takenAtMs.size, VMS.length);
  for (const [vm, timesMs] of takenAtMs) {
    assert.ok(timesMs.length >= 3, `${vm} was fetched ${timesMs.length} times`);
    for (const [index, atMs] of timesMs.slice(1).entries())
      assert.ok(atMs - (timesMs[index] ?? 0) <= INTERVAL_MS + TICK_MS);
  }
});

test('VMs that no fetch was free for come first, and those that are gone are forgotten', () => {
  const schedule = new PollSchedule(INTERVAL_MS);
  assert.deepEqual(schedule.takeDue(VMS.slice(0, 2), 0, 0), []);
  assert.deepEqual(schedule.takeDue(VMS.slice(0, 2), INTERVAL_MS, 1), VMS.slice(0, 1));
  assert.deepEqual(schedule.takeDue(VMS.slice(0, 2), INTERVAL_MS, 1), VMS.slice(1, 2));
  assert.deepEqual(schedule.takeDue([], 2 * INTERVAL_MS, 1), []);
});
