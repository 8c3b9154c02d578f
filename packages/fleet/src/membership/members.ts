import { hashText, rankByRendezvous } from '@sardinegrade/common';

import { DELEGATE_COUNT, SYNC_BUCKETS } from './constants.js';
import { isPresent } from './compareMembers.js';
import { MemberState } from './enums.js';

import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { Member } from '../types.js';
import type { MembershipState } from './types.js';

/**
 * @param state - the membership
 * @returns all members but the dead, without this daemon
 */
export const listOthers = (state: MembershipState): readonly Member[] =>
  [...state.records.values()].map((record) => record.member).filter(isPresent);

/**
 * @param state - the membership
 * @param dataCentre - where the members are
 * @returns members of that data centre but the dead, without this daemon
 */
export const listOthersIn = (
  state: MembershipState,
  dataCentre: DataCentreName,
): readonly Member[] => listOthers(state).filter((member) => member.dataCentre === dataCentre);

/**
 * Picks the daemons of a data centre that do a task for all of it. Everyone who knows the same members
 * picks the same; leaving ones are passed over.
 *
 * @param state - the membership
 * @param dataCentre - the data centre
 * @param task - a name that spreads different tasks over different daemons
 * @param count - how many to pick
 * @returns the VMs, the first choice first
 */
export const pickForTask = (
  state: MembershipState,
  dataCentre: DataCentreName,
  task: string,
  count: number,
): readonly VmId[] => {
  const all = dataCentre === state.self.dataCentre ? [state.self] : [];
  const stable = [...all, ...listOthersIn(state, dataCentre)].filter(
    (member) => member.state !== MemberState.Leaving,
  );
  const vms = stable.map((member) => member.vm);
  return rankByRendezvous(`${task}/${dataCentre}`, vms).slice(0, count);
};

/**
 * @param state - the membership
 * @param dataCentre - a data centre
 * @returns the daemons there that talk to other data centres
 */
export const listDelegates = (
  state: MembershipState,
  dataCentre: DataCentreName,
): readonly VmId[] => pickForTask(state, dataCentre, 'delegate', DELEGATE_COUNT);

/**
 * @param state - the membership
 * @returns whether this daemon talks to other data centres
 */
export const isDelegate = (state: MembershipState): boolean =>
  listDelegates(state, state.self.dataCentre).includes(state.self.vm);

/**
 * @param state - the membership
 * @returns the data centres of other members, but for this daemon's own
 */
export const listOtherDataCentres = (state: MembershipState): readonly DataCentreName[] => {
  const names = listOthers(state).map((member) => member.dataCentre);
  return [...new Set(names)].filter((name) => name !== state.self.dataCentre).sort();
};

/**
 * @param vm - a VM
 * @returns the part of the membership that it falls into
 */
export const getBucket = (vm: VmId): number => hashText(vm) % SYNC_BUCKETS;

/**
 * Hashes the parts of the membership, whatever the order in which it was learned. Suspicions pass soon
 * and do not count.
 *
 * @param state - the membership
 * @returns a 32-bit number for each part, equal for equal memberships
 */
export const hashBuckets = (state: MembershipState): readonly number[] => {
  const digests = Array.from({ length: SYNC_BUCKETS }, () => 0);
  for (const { vm, incarnation, state: memberState } of [state.self, ...listOthers(state)]) {
    const isLeaving = memberState === MemberState.Leaving;
    const bucket = getBucket(vm);
    const hash = hashText(`${vm}/${incarnation}/${String(isLeaving)}`);
    digests[bucket] = ((digests[bucket] ?? 0) + hash) >>> 0;
  }
  return digests;
};
