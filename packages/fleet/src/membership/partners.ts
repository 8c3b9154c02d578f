import { hashText } from '@sardinegrade/common';

import { PartnerChoice } from '../enums.js';
import { NEIGHBOUR_COUNT, RANDOM_PARTNER_EVERY, REMOTE_RANDOM_EVERY } from './constants.js';
import { listDelegates, listOthersIn } from './members.js';

import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { Member } from '../types.js';
import type { MembershipContext, MembershipState } from './types.js';

/** A chosen member, and the state that remembers the choice. */
export interface PartnerPick {
  readonly state: MembershipState;
  readonly partner: Member | undefined;
}

/**
 * Picks one of several at random.
 *
 * @param items - what to pick from
 * @param random - uniform numbers from 0 up to but without 1
 * @returns one of them, or undefined where there is none
 */
export const pickRandom = <Item>(items: readonly Item[], random: () => number): Item | undefined =>
  items[Math.floor(random() * items.length)];

/**
 * Picks several different items at random.
 *
 * @param items - what to pick from
 * @param count - how many at most
 * @param random - uniform numbers from 0 up to but without 1
 * @returns the picked items, in random order
 */
export const pickSeveral = <Item>(
  items: readonly Item[],
  count: number,
  random: () => number,
): readonly Item[] => {
  const rest = [...items];
  const picked: Item[] = [];
  while (picked.length < count && rest.length > 0) {
    picked.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return picked;
};

const listNeighbours = (self: VmId, members: readonly Member[]): readonly Member[] => {
  const own = hashText(self);
  const ranked = members
    .map((member) => ({ member, distance: (hashText(member.vm) - own) >>> 0 }))
    .sort((left, right) => left.distance - right.distance);
  return ranked.slice(0, NEIGHBOUR_COUNT).map((entry) => entry.member);
};

const pickUniform = (state: MembershipState, context: MembershipContext): PartnerPick => {
  const members = listOthersIn(state, state.self.dataCentre);
  return { state, partner: pickRandom(members, context.random) };
};

const pickInRound = (state: MembershipState, context: MembershipContext): PartnerPick => {
  const members = listOthersIn(state, state.self.dataCentre);
  const present = new Map(members.map((member) => [member.vm, member]));
  const rest = state.round.filter((vm) => present.has(vm));
  const vms = [...present.keys()];
  const round = rest.length > 0 ? rest : pickSeveral(vms, vms.length, context.random);
  const [first, ...others] = round;
  return {
    state: { ...state, round: others },
    partner: first === undefined ? undefined : present.get(first),
  };
};

const pickNearOrRandom = (state: MembershipState, context: MembershipContext): PartnerPick => {
  const members = listOthersIn(state, state.self.dataCentre);
  const isRandomTurn = state.pingCount % RANDOM_PARTNER_EVERY === 0;
  if (isRandomTurn) return { state, partner: pickRandom(members, context.random) };
  const neighbours = listNeighbours(state.self.vm, members);
  // Counts the turns that were not random, so that each neighbour comes up equally often.
  const turn = state.pingCount - Math.ceil(state.pingCount / RANDOM_PARTNER_EVERY);
  return { state, partner: neighbours[turn % neighbours.length] };
};

const PARTNER_PICKERS: Readonly<
  Record<PartnerChoice, (state: MembershipState, context: MembershipContext) => PartnerPick>
> = {
  [PartnerChoice.Uniform]: pickUniform,
  [PartnerChoice.RoundRobin]: pickInRound,
  [PartnerChoice.NearestAndRandom]: pickNearOrRandom,
};

/**
 * Picks the next member of the daemon's own data centre to ping.
 *
 * @param state - the membership
 * @param context - time and random source
 * @returns the member, undefined where there is none, and the state that remembers the choice
 */
export const pickPartner = (state: MembershipState, context: MembershipContext): PartnerPick => {
  const pick = PARTNER_PICKERS[state.partnerChoice](state, context);
  return { ...pick, state: { ...pick.state, pingCount: state.pingCount + 1 } };
};

/**
 * Picks a member of another data centre: as a rule one of its delegates, now and then anyone there,
 * in case that the delegates known here are gone.
 *
 * @param state - the membership
 * @param dataCentre - the other data centre
 * @param random - uniform numbers from 0 up to but without 1
 * @returns the member, or undefined where none is known
 */
export const pickRemotePartner = (
  state: MembershipState,
  dataCentre: DataCentreName,
  random: () => number,
): Member | undefined => {
  const members = listOthersIn(state, dataCentre);
  if (random() * REMOTE_RANDOM_EVERY < 1) return pickRandom(members, random);
  const vm = pickRandom(listDelegates(state, dataCentre), random);
  return members.find((member) => member.vm === vm) ?? pickRandom(members, random);
};
