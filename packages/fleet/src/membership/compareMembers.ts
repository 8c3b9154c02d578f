import { MemberState } from './enums.js';

import type { Member } from '../types.js';

const STATE_RANK: Readonly<Record<MemberState, number>> = {
  [MemberState.Alive]: 0,
  [MemberState.Suspect]: 1,
  [MemberState.Leaving]: 2,
  [MemberState.Dead]: 3,
};

/**
 * Compares two accounts of one member. The order is total, so that all daemons end with the same account
 * in whatever order they hear of it.
 *
 * @param left - one account
 * @param right - another account of the same VM
 * @returns above 0 where the left one overrides the right one, 0 where they say the same
 */
export const compareMembers = (left: Member, right: Member): number => {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation;
  return STATE_RANK[left.state] - STATE_RANK[right.state];
};

/**
 * @param member - a member
 * @returns whether it takes part in the fleet: it may be suspected or leaving, but is not dead
 */
export const isPresent = (member: Member): boolean => member.state !== MemberState.Dead;
