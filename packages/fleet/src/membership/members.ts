import { hashText, rankByRendezvous } from '@sardinegrade/common';

import { DELEGATE_COUNT, SYNC_BUCKET_COUNT } from './constants.js';
import { isPresent } from './compareMembers.js';
import { MemberState } from './enums.js';

import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { Member } from '../types.js';
import type { MembershipState } from './types.js';

/**
 * @param state - current membership state
 * @returns all members that are not dead, excluding this daemon
 */
export const listOthers = (state: MembershipState): readonly Member[] =>
  [...state.records.values()].map((record) => record.member).filter(isPresent);

/**
 * @param state - current membership state
 * @param dataCentre - data centre to filter by
 * @returns the members of that data centre that are not dead, excluding this daemon
 */
export const listOthersIn = (
  state: MembershipState,
  dataCentre: DataCentreName,
): readonly Member[] => listOthers(state).filter((member) => member.dataCentre === dataCentre);

/**
 * Picks the daemons that perform a task on behalf of their whole data centre, by rendezvous hashing.
 * Daemons with the same membership pick the same ones; leaving members are skipped.
 *
 * @param state - current membership state
 * @param dataCentre - data centre to pick daemons in
 * @param task - task name; part of the hash, so that different tasks go to different daemons
 * @param count - maximum number of daemons to pick
 * @returns the VMs, highest rank first
 */
export const pickForTask = (
  state: MembershipState,
  dataCentre: DataCentreName,
  task: string,
  count: number,
): readonly VmId[] => {
  const own = dataCentre === state.self.dataCentre ? [state.self] : [];
  const candidates = [...own, ...listOthersIn(state, dataCentre)].filter(
    (member) => member.state !== MemberState.Leaving,
  );
  const vms = candidates.map((member) => member.vm);
  return rankByRendezvous(`${task}/${dataCentre}`, vms).slice(0, count);
};

/**
 * @param state - current membership state
 * @param dataCentre - data centre whose delegates are listed
 * @returns the daemons that exchange gossip with other data centres on its behalf
 */
export const listDelegates = (
  state: MembershipState,
  dataCentre: DataCentreName,
): readonly VmId[] => pickForTask(state, dataCentre, 'delegate', DELEGATE_COUNT);

/**
 * @param state - current membership state
 * @returns whether this daemon exchanges gossip with other data centres on behalf of its own
 */
export const isDelegate = (state: MembershipState): boolean =>
  listDelegates(state, state.self.dataCentre).includes(state.self.vm);

/**
 * @param state - current membership state
 * @returns the data centres of the known members, sorted, excluding this daemon's own
 */
export const listOtherDataCentres = (state: MembershipState): readonly DataCentreName[] => {
  const names = listOthers(state).map((member) => member.dataCentre);
  return [...new Set(names)].filter((name) => name !== state.self.dataCentre).sort();
};

/**
 * @param vm - VM of a member
 * @returns index of the sync bucket that the member belongs to
 */
export const getBucket = (vm: VmId): number => hashText(vm) % SYNC_BUCKET_COUNT;

/**
 * Computes a digest of each sync bucket that does not depend on the order of updates. Suspicions are
 * short-lived and don't affect the digest.
 *
 * @param state - current membership state
 * @returns a 32-bit digest per bucket, equal for equal memberships
 */
export const hashBuckets = (state: MembershipState): readonly number[] => {
  const digests = Array.from({ length: SYNC_BUCKET_COUNT }, () => 0);
  for (const { vm, incarnation, state: memberState } of [state.self, ...listOthers(state)]) {
    const isLeaving = memberState === MemberState.Leaving;
    const bucket = getBucket(vm);
    const hash = hashText(`${vm}/${incarnation}/${String(isLeaving)}`);
    digests[bucket] = ((digests[bucket] ?? 0) + hash) >>> 0;
  }
  return digests;
};
