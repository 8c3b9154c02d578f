import { MemberState } from './enums.js';

import type { Member } from '../types.js';

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

/**
 * Compares two versions of the same member by incarnation, then by state. The order is total, so all
 * daemons converge on the same version regardless of the order in which they receive updates.
 *
 * @param left - one version
 * @param right - another version of the same VM
 * @returns positive if `left` overrides `right`, negative if `right` overrides `left`, 0 if they are equal
 */
export const compareMembers = (left: Member, right: Member): number => {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation;
  return STATE_RANK[left.state] - STATE_RANK[right.state];
};

/**
 * @param member - member to check
 * @returns whether it still takes part in the fleet: alive, suspect or leaving, but not dead
 */
export const isPresent = (member: Member): boolean => member.state !== MemberState.Dead;
