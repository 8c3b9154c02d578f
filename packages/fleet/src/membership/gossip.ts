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

/** The gossip for one message, and the state in which it is counted as sent. */
export interface GossipSelection {
  readonly state: MembershipState;
  readonly gossip: Gossip;
}

const REFUTABLE_STATES: ReadonlySet<MemberState> = new Set([MemberState.Suspect, MemberState.Dead]);

const selectLeastSent = <Item extends { readonly sendsLeft: number }>(
  items: Iterable<Item>,
  limit: number,
): readonly Item[] =>
  [...items]
    .filter((item) => item.sendsLeft > 0)
    .sort((left, right) => right.sendsLeft - left.sendsLeft)
    .slice(0, limit);

const selectMembers = (
  state: MembershipState,
  to: VmId,
): { readonly members: readonly Member[]; readonly state: MembershipState } => {
  const recipient = state.records.get(to);
  const canRecipientRefute =
    recipient !== undefined && REFUTABLE_STATES.has(recipient.member.state);
  const picked = selectLeastSent(state.records.values(), GOSSIP_MEMBER_LIMIT);
  const includesSelf = state.selfSendsLeft > 0;
  // A recipient that is recorded as suspect or dead must receive that record to be able to refute it,
  // even if the record has already been sent to others as often as the limit allows.
  const selected: readonly MemberRecord[] =
    canRecipientRefute && !picked.includes(recipient) ? [recipient, ...picked] : picked;
  const members = [
    ...(includesSelf ? [state.self] : []),
    ...selected.map((record) => record.member),
  ];
  if (members.length === 0) return { members, state };
  const records = new Map(state.records);
  for (const record of picked) {
    records.set(record.member.vm, { ...record, sendsLeft: record.sendsLeft - 1 });
  }
  const selfSendsLeft = Math.max(0, state.selfSendsLeft - 1);
  return { members, state: { ...state, records, selfSendsLeft } };
};

const selectNews = (
  state: MembershipState,
): { readonly news: readonly News[]; readonly state: MembershipState } => {
  const picked = selectLeastSent(state.news.values(), GOSSIP_NEWS_LIMIT);
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
  return [...state.contacts].map(([dataCentre, lastContactAtMs]) => ({
    dataCentre,
    ageMs: Math.max(0, context.nowMs - lastContactAtMs),
  }));
};

/**
 * Selects the gossip for the next message, least-sent updates first, within the size limits of a message.
 *
 * @param state - current membership state
 * @param to - recipient of the message
 * @param context - current time and random source
 * @returns the gossip, and the state in which it is counted as sent
 */
export const selectGossip = (
  state: MembershipState,
  to: VmId,
  context: MembershipContext,
): GossipSelection => {
  const selection = selectMembers(state, to);
  const { news, state: next } = selectNews(selection.state);
  const contacts = listContacts(state, to, context);
  return {
    state: next,
    gossip: { members: selection.members, news, generation: state.generation, contacts },
  };
};
