import { hashText } from '@sardinegrade/common';

import { PartnerChoice } from '../enums.js';
import {
  NEIGHBOUR_COUNT,
  RANDOM_PARTNER_EVERY_PINGS,
  REMOTE_RANDOM_EVERY_PINGS,
} from './constants.js';
import { listDelegates, listOthersIn } from './members.js';

import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { Member } from '../types.js';
import type { MembershipContext, MembershipState } from './types.js';

/** The picked member, and the state with the updated pick position. */
export interface PartnerPick {
  readonly state: MembershipState;
  readonly partner: Member | undefined;
}

/**
 * Picks a random item.
 *
 * @param items - items to pick from
 * @param random - returns uniform random numbers in [0, 1)
 * @returns the picked item, or undefined if there are no items
 */
export const pickRandom = <Item>(items: readonly Item[], random: () => number): Item | undefined =>
  items[Math.floor(random() * items.length)];

/**
 * Picks several distinct items at random.
 *
 * @param items - items to pick from
 * @param count - maximum number of items to pick
 * @param random - returns uniform random numbers in [0, 1)
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

const pickRoundRobin = (state: MembershipState, context: MembershipContext): PartnerPick => {
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

const pickNearestOrRandom = (state: MembershipState, context: MembershipContext): PartnerPick => {
  const members = listOthersIn(state, state.self.dataCentre);
  const isRandomTurn = state.pingCount % RANDOM_PARTNER_EVERY_PINGS === 0;
  if (isRandomTurn) return { state, partner: pickRandom(members, context.random) };
  const neighbours = listNeighbours(state.self.vm, members);
  // Counts only the non-random pings, so that each neighbour is pinged equally often.
  const turn = state.pingCount - Math.ceil(state.pingCount / RANDOM_PARTNER_EVERY_PINGS);
  return { state, partner: neighbours[turn % neighbours.length] };
};

const PARTNER_PICKERS: Readonly<
  Record<PartnerChoice, (state: MembershipState, context: MembershipContext) => PartnerPick>
> = {
  [PartnerChoice.Uniform]: pickUniform,
  [PartnerChoice.RoundRobin]: pickRoundRobin,
  [PartnerChoice.NearestAndRandom]: pickNearestOrRandom,
};

/**
 * Picks the next member of the local data centre to ping, according to the configured partner choice.
 *
 * @param state - current membership state
 * @param context - current time and random source
 * @returns the member, or undefined if there is none, and the state with the updated pick position
 */
export const pickPartner = (state: MembershipState, context: MembershipContext): PartnerPick => {
  const pick = PARTNER_PICKERS[state.partnerChoice](state, context);
  return { ...pick, state: { ...pick.state, pingCount: state.pingCount + 1 } };
};

/**
 * Picks a member of another data centre: usually one of its delegates, occasionally a random member, in
 * case the delegates known to this daemon no longer exist.
 *
 * @param state - current membership state
 * @param dataCentre - data centre to pick a member of
 * @param random - returns uniform random numbers in [0, 1)
 * @returns the member, or undefined if none is known
 */
export const pickRemotePartner = (
  state: MembershipState,
  dataCentre: DataCentreName,
  random: () => number,
): Member | undefined => {
  const members = listOthersIn(state, dataCentre);
  if (random() * REMOTE_RANDOM_EVERY_PINGS < 1) return pickRandom(members, random);
  const vm = pickRandom(listDelegates(state, dataCentre), random);
  return members.find((member) => member.vm === vm) ?? pickRandom(members, random);
};
