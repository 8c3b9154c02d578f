import assert from 'node:assert/strict';
import { test } from 'node:test';

import { MemberState, Membership, PartnerChoice } from '@sardinegrade/fleet';

import { createRandom } from '../../../load/index.js';
import { VirtualFleet } from './VirtualFleet.js';

const SEED = 20261204;
const DATA_CENTRES = ['a', 'b', 'c', 'd'].map((name) => ({ name, daemons: 6 }));

const createFleet = (partnerChoice: PartnerChoice, lossShare = 0.02): VirtualFleet =>
  new VirtualFleet({
    dataCentres: DATA_CENTRES,
    partnerChoice,
    random: createRandom(SEED),
    lossShare,
    pauseEveryMs: 60_000,
    pauseLimitMs: 2_000,
  });

const getView = (fleet: VirtualFleet, by: string): ReadonlyMap<string, MemberState> => {
  const records = fleet.getState(by)?.records ?? new Map<never, Membership.MemberRecord>();
  return new Map([...records].map(([vm, { member }]) => [vm, member.state]));
};

const isEveryoneAware = (
  fleet: VirtualFleet,
  about: string,
  states: readonly (MemberState | undefined)[],
): boolean =>
  fleet
    .listRunning()
    .filter((by) => by !== about)
    .every((by) => states.includes(getView(fleet, by).get(about)));

const waitFor = (fleet: VirtualFleet, what: string, isMet: () => boolean): void => {
  const deadlineMs = fleet.queue.nowMs + 300_000;
  while (!isMet()) {
    assert.ok(fleet.queue.nowMs < deadlineMs, `not in virtual time: ${what}`);
    fleet.queue.advance(fleet.queue.nowMs + 500);
  }
};

const isComplete = (fleet: VirtualFleet): boolean =>
  fleet.listRunning().every((vm) => isEveryoneAware(fleet, vm, [MemberState.Alive]));

for (const choice of Object.values(PartnerChoice)) {
  test(`24 daemons in 4 data centres: crashes are noticed and returns are welcomed, ${choice}`, () => {
    const fleet = createFleet(choice);
    waitFor(fleet, 'all know each other', () => isComplete(fleet));
    fleet.abortDaemon('b-3');
    waitFor(fleet, 'the crash is known', () =>
      isEveryoneAware(fleet, 'b-3', [MemberState.Dead, undefined]),
    );
    fleet.addDaemon('b-3', 'b');
    waitFor(fleet, 'the return is known', () => isComplete(fleet));
    const wronged = fleet.sightings.filter(
      (seen) => seen.state === MemberState.Dead && seen.about !== 'b-3',
    );
    assert.deepEqual(wronged, []);
  });
}

test('a data centre that is cut off is out of reach, but nobody in it is condemned', () => {
  const fleet = createFleet(PartnerChoice.NearestAndRandom);
  waitFor(fleet, 'all know each other', () => isComplete(fleet));
  const getAge = (by: string, about: string): number => {
    const contacts = fleet.getState(by)?.contacts ?? new Map<never, number>();
    const heardAtMs = [...contacts].find(([name]) => name === about)?.[1] ?? -Infinity;
    return 1_000_000_000_000 + fleet.queue.nowMs - heardAtMs;
  };
  const isOutOfReach = (by: string, about: string): boolean =>
    getAge(by, about) > Membership.DATA_CENTRE_TIMEOUT_MS;
  fleet.setCut('c', true);
  waitFor(fleet, 'both sides see the cut', () =>
    fleet
      .listRunning()
      .every((vm) => (vm.startsWith('c') ? isOutOfReach(vm, 'a') : isOutOfReach(vm, 'c'))),
  );
  fleet.queue.advance(fleet.queue.nowMs + 600_000);
  assert.deepEqual(
    fleet.sightings.filter((seen) => seen.state === MemberState.Dead),
    [],
  );
  fleet.abortDaemon('c-1');
  fleet.setCut('c', false);
  waitFor(fleet, 'the data centre is back', () =>
    fleet.listRunning().every((vm) => vm.startsWith('c') || !isOutOfReach(vm, 'c')),
  );
  waitFor(fleet, 'its crash is known everywhere', () =>
    isEveryoneAware(fleet, 'c-1', [MemberState.Dead, undefined]),
  );
});

test('a generation that one daemon has reaches all others by the pings alone', () => {
  const fleet = createFleet(PartnerChoice.NearestAndRandom);
  waitFor(fleet, 'all know each other', () => isComplete(fleet));
  fleet.setGeneration('d-4', 7);
  waitFor(fleet, 'all have the generation', () =>
    fleet.listRunning().every((vm) => fleet.getState(vm)?.generation === 7),
  );
});

test('equal seeds give equal runs', () => {
  const [left, right] = [1, 2].map(() => {
    const fleet = createFleet(PartnerChoice.Uniform);
    fleet.queue.advance(30_000);
    return fleet;
  });
  assert.deepEqual(left?.getCounts(), right?.getCounts());
  assert.deepEqual(left?.sightings, right?.sightings);
});
