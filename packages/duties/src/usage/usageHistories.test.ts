import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import * as fc from 'fast-check';

import { UsageFleet, WINDOW_MS } from './testing/UsageFleet.js';

import type { WorkspaceName } from '@sardinegrade/common';

const VM_COUNT = 7;
const STEPS = 700;
const WORKSPACES: readonly WorkspaceName[] = [toBranded('hule930'), toBranded('fida11')];
/** Histories; more in a run by hand. */
const RUNS = Number(process.env.USAGE_HISTORIES ?? 30);

/** Disruptions of a VM; the store is restored, and all VMs lose power, whichever the VM. */
const DISRUPTIONS: Readonly<Record<string, (fleet: UsageFleet, vm: number, size: number) => void>> =
  {
    becomesHolder: (fleet, vm) => fleet.setHolder(vm, true),
    losesHold: (fleet, vm) => fleet.setHolder(vm, false),
    dies: (fleet, vm) => fleet.resetVm(vm),
    isSuspended: (fleet, vm, size) => fleet.pause(vm, size * 500),
    // At most 28 % of the VMs have a wrong clock: two of seven would be more.
    clockJumps: (fleet, _vm, size) =>
      fleet.setWallError(0, size % 3 === 0 ? 0 : (size - 5) * 1_500),
    storeIsRestored: (fleet, _vm, size) => fleet.store.restore(size),
    allLosePower: (fleet) => {
      for (let vm = 0; vm < VM_COUNT; vm += 1) fleet.resetVm(vm);
    },
  };

const disruptionArbitrary = fc.record({
  step: fc.integer({ min: 0, max: STEPS }),
  // The holder changes more often than all else.
  kind: fc.oneof(
    { weight: 2, arbitrary: fc.constantFrom('becomesHolder', 'losesHold') },
    { weight: 3, arbitrary: fc.constantFrom(...Object.keys(DISRUPTIONS)) },
  ),
  vm: fc.integer({ min: 0, max: VM_COUNT - 1 }),
  size: fc.integer({ min: 0, max: 10 }),
});

// Guards against two contents for one window: two holders at once, late writes, lost answers, restored stores, wrong clocks.
test('no window is ever sent with two different contents', async () => {
  let sentCount = 0;
  const property = fc.asyncProperty(
    fc.array(disruptionArbitrary, { minLength: 5, maxLength: 40 }),
    fc.gen(),
    async (disruptions, generate) => {
      const pickInteger = (max: number): number => generate(fc.integer, { min: 0, max });
      const fleet = new UsageFleet(VM_COUNT, pickInteger, 30);
      fleet.setHolder(1, true);
      for (let step = 0; step < STEPS; step += 1) {
        for (const { kind, vm, size } of disruptions.filter((item) => item.step === step))
          DISRUPTIONS[kind]?.(fleet, vm, size);
        fleet.runRequest(step % VM_COUNT, toBranded(`workspace${step % 3}`));
        await fleet.step();
      }
      sentCount += fleet.sent.size;
      for (const [window, contents] of fleet.sent)
        assert.equal(contents.size, 1, `window ${window}: ${[...contents].join(' and ')}`);
    },
  );
  await fc.assert(property, { numRuns: RUNS, endOnFailure: true });
  assert.ok(sentCount > RUNS, `only ${sentCount} windows were sent`);
});

// Guards against missing, late and repeated counts; wall clocks that jump must not move a request to another window.
test('without disruption each window is reported in time with exact counts, though clocks jump', async () => {
  const property = fc.asyncProperty(fc.gen(), async (generate) => {
    const pickInteger = (max: number): number => generate(fc.integer, { min: 0, max });
    const fleet = new UsageFleet(VM_COUNT, pickInteger, 0);
    fleet.setHolder(0, true);
    for (let step = 0; step < STEPS; step += 1) {
      // Before the clocks have been read twice, a jump is not recognised.
      if (step > 60 && step % 40 === 0) fleet.setWallError(0, (pickInteger(8) - 4) * 1_000);
      const isNearEdge = Math.abs((fleet.nowMs % WINDOW_MS) - WINDOW_MS / 2) > WINDOW_MS / 2 - 200;
      for (const workspace of isNearEdge ? [] : WORKSPACES)
        if (pickInteger(2) > 0) fleet.runRequest(pickInteger(VM_COUNT - 1), workspace);
      await fleet.step();
      const due = Math.floor((fleet.nowMs - 10_000) / WINDOW_MS) - 1;
      const [first = due] = fleet.trueCounts.keys();
      if (due < first) continue;
      assert.deepEqual(fleet.accepted.get(due), fleet.trueCounts.get(due), `window ${due}`);
    }
  });
  await fc.assert(property, { numRuns: Math.ceil(RUNS / 10), endOnFailure: true });
});
