import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { FleetClock } from './FleetClock.js';

const ROUND_MS = 2_500;
const EPOCH_MS = 1_000_000;

/** A clock in virtual time, in a fleet of `vmCount` VMs. */
const createClock = (vmCount: number) => {
  const time = { nowMs: 0, wallMs: EPOCH_MS };
  const getNowMs = (): number => time.nowMs;
  const clock = new FleetClock({ getNowMs, getWallMs: () => time.wallMs, roundMs: ROUND_MS });
  const addWalls = (...errorsMs: readonly number[]): void => {
    for (const [index, errorMs] of errorsMs.entries())
      clock.addSample(
        toBranded(`vm${index}`),
        EPOCH_MS + time.nowMs + errorMs,
        time.nowMs,
        vmCount,
      );
  };
  const advance = (durationMs: number): void => {
    time.nowMs += durationMs;
    time.wallMs += durationMs;
  };
  return { time, clock, addWalls, advance };
};

test('a VM uses its own wall clock until it has heard of enough others, and states no time before', () => {
  const { time, clock, addWalls } = createClock(6);
  time.wallMs += 4_000;
  assert.equal(clock.timeMs, EPOCH_MS + 4_000);
  addWalls(0, 0);
  assert.equal(clock.isSynced, false);
  assert.equal(clock.statedTimeMs, undefined);
  addWalls(0, 0, 10);
  assert.equal(clock.timeMs, EPOCH_MS + 5);
});

// Guards against windows that move with the wall clock of one VM, the holder included.
test('a jump of wall clocks on a minority of the VMs changes nothing', () => {
  const { time, clock, addWalls, advance } = createClock(7);
  addWalls(0, 0, 0, 0, 0, 0);
  time.wallMs += 7_000;
  assert.equal(clock.timeMs, EPOCH_MS);
  advance(100);
  addWalls(-8_000, 0, 0, 0, 0, 0);
  assert.equal(clock.timeMs, EPOCH_MS + 100);
});

// Guards against a holder that passes on the time lost in its own suspension, in which the monotonic clock stands still.
test('after a suspension no time is stated until the clocks of the others have been read again', () => {
  const { time, clock, addWalls, advance } = createClock(5);
  addWalls(0, 0, 0, 0);
  assert.equal(clock.statedTimeMs, EPOCH_MS);
  time.wallMs += 3_000;
  assert.equal(clock.statedTimeMs, undefined);
  advance(ROUND_MS);
  addWalls(3_000, 3_000, 3_000, 3_000);
  assert.equal(clock.statedTimeMs, undefined);
  advance(1);
  assert.equal(clock.statedTimeMs, EPOCH_MS + ROUND_MS + 3_001);
});

// Guards against a holder that cannot reach enough others after its suspension, and so keeps and states the time it had.
test('after a suspension the samples from before it do not count, and the lost time is never stated', () => {
  const { time, clock, addWalls, advance } = createClock(5);
  addWalls(0, 0, 0, 0);
  time.wallMs += 3_000;
  advance(ROUND_MS + 1);
  addWalls(3_000);
  advance(ROUND_MS + 1);
  assert.equal(clock.statedTimeMs, undefined);
  assert.ok(clock.latestTimeMs >= time.wallMs);
  addWalls(3_000, 3_000, 3_000, 3_000);
  assert.equal(clock.statedTimeMs, time.wallMs);
});

test('the time that the holder states is taken over', () => {
  const { time, clock, advance } = createClock(5);
  clock.setTime(EPOCH_MS + 50);
  time.wallMs -= 5_000;
  advance(10);
  assert.equal(clock.timeMs, EPOCH_MS + 60);
});
