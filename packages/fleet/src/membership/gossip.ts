import { GOSSIP_MEMBER_LIMIT, GOSSIP_NEWS_LIMIT } from './constants.js';
import { MemberState } from './enums.js';

import type { VmId } from '@sardinegrade/common';
import type { Member, News } from '../types.js';
import type {
  Contact,
  Gossip,
  MemberRecord,
  MembershipContext,
  MembershipState,
  NewsRecord,
} from './types.js';

/** A message's gossip, and the state that remembers that it was sent. */
export interface GossipTake {
  readonly state: MembershipState;
  readonly gossip: Gossip;
}

const DOUBTED_STATES: ReadonlySet<MemberState> = new Set([MemberState.Suspect, MemberState.Dead]);

const selectFreshest = <Item extends { readonly sendsLeft: number }>(
  items: Iterable<Item>,
  limit: number,
): readonly Item[] =>
  [...items]
    .filter((item) => item.sendsLeft > 0)
    .sort((left, right) => right.sendsLeft - left.sendsLeft)
    .slice(0, limit);

const takeMembers = (
  state: MembershipState,
  to: VmId,
): { readonly members: readonly Member[]; readonly state: MembershipState } => {
  const doubted = state.records.get(to);
  const isDoubted = doubted !== undefined && DOUBTED_STATES.has(doubted.member.state);
  const picked = selectFreshest(state.records.values(), GOSSIP_MEMBER_LIMIT);
  const includesSelf = state.selfSendsLeft > 0;
  // One who is doubted has to hear of it to refute, however often it has been said to others.
  const told: readonly MemberRecord[] =
    isDoubted && !picked.includes(doubted) ? [doubted, ...picked] : picked;
  const members = [...(includesSelf ? [state.self] : []), ...told.map((record) => record.member)];
  if (members.length === 0) return { members, state };
  const records = new Map(state.records);
  for (const record of picked) {
    records.set(record.member.vm, { ...record, sendsLeft: record.sendsLeft - 1 });
  }
  const selfSendsLeft = Math.max(0, state.selfSendsLeft - 1);
  return { members, state: { ...state, records, selfSendsLeft } };
};

const takeNews = (
  state: MembershipState,
): { readonly news: readonly News[]; readonly state: MembershipState } => {
  const picked = selectFreshest(state.news.values(), GOSSIP_NEWS_LIMIT);
  if (picked.length === 0) return { news: [], state };
  const news = new Map(state.news);
  for (const record of picked) {
    const sent: NewsRecord = { ...record, sendsLeft: record.sendsLeft - 1 };
    news.set(`${record.news.kind}:${record.news.subject}`, sent);
  }
  return { news: picked.map((record) => record.news), state: { ...state, news } };
};

const listContacts = (
  state: MembershipState,
  to: VmId,
  context: MembershipContext,
): readonly Contact[] => {
  if (state.records.get(to)?.member.dataCentre !== state.self.dataCentre) return [];
  return [...state.contacts].map(([dataCentre, heardAtMs]) => ({
    dataCentre,
    ageMs: Math.max(0, context.nowMs - heardAtMs),
  }));
};

/**
 * Takes what the next message is to carry, the least told first, within the bounds of a message.
 *
 * @param state - the membership
 * @param to - who receives the message
 * @param context - time and random source
 * @returns the gossip, and the state that remembers that it was sent
 */
export const takeGossip = (
  state: MembershipState,
  to: VmId,
  context: MembershipContext,
): GossipTake => {
  const taken = takeMembers(state, to);
  const { news, state: next } = takeNews(taken.state);
  const contacts = listContacts(state, to, context);
  return {
    state: next,
    gossip: { members: taken.members, news, generation: state.generation, contacts },
  };
};
