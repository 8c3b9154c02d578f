import { compareMembers } from './compareMembers.js';
import { SYNC_INTERVAL_MS } from './constants.js';
import { MembershipActionKind } from './enums.js';
import { hashMembership } from './members.js';
import { mergeMembers } from './mergeMembers.js';
import { mergeNews } from './mergeNews.js';

import type { Member } from '../types.js';
import type {
  MembershipAction,
  MembershipContext,
  MembershipEvent,
  MembershipState,
  MembershipStep,
} from './types.js';
import type { MembershipEventKind } from './enums.js';

type SyncEvent = Extract<MembershipEvent, { kind: MembershipEventKind.Sync }>;
type SyncAnswer = Extract<MembershipEvent, { kind: MembershipEventKind.SyncAnswered }>;

const listAll = (state: MembershipState): readonly Member[] => [
  state.self,
  ...[...state.records.values()].map((record) => record.member),
];

/**
 * Answers another daemon's sync.
 *
 * @param state - the membership
 * @param event - the other's request
 * @param context - time and random source
 * @returns the merged state, and the reply with all members unless both know the same
 */
export const handleSync = (
  state: MembershipState,
  event: SyncEvent,
  context: MembershipContext,
): MembershipStep => {
  const merged = mergeMembers(state, [...event.members, event.sender], context);
  const isEqual = hashMembership(merged.state) === event.digest;
  const news = [...merged.state.news.values()].map((record) => record.news);
  const reply: MembershipAction = {
    kind: MembershipActionKind.ReplySync,
    members: isEqual ? [] : listAll(merged.state),
    news: isEqual ? [] : news,
    isEqual,
  };
  const report: MembershipAction = {
    kind: MembershipActionKind.ReportGeneration,
    from: event.sender.vm,
    generation: event.generation,
  };
  return { state: merged.state, actions: [...merged.actions, report, reply] };
};

/** Lists what the other daemon, by its own list, does not know yet. */
const listLacked = (state: MembershipState, members: readonly Member[]): readonly Member[] => {
  const known = new Map(members.map((member) => [member.vm, member]));
  return listAll(state).filter((member) => {
    const other = known.get(member.vm);
    return other === undefined || compareMembers(member, other) > 0;
  });
};

/**
 * Takes the answer to a sync into account.
 *
 * @param state - the membership
 * @param event - the answer
 * @param context - time and random source
 * @returns the merged state, and a second sync with what the other lacks
 */
export const handleSyncAnswer = (
  state: MembershipState,
  event: SyncAnswer,
  context: MembershipContext,
): MembershipStep => {
  const syncIntervalMs = event.isEqual
    ? Math.min(SYNC_INTERVAL_MS, 2 * state.syncIntervalMs)
    : state.syncIntervalMs;
  const joined = { ...state, isJoined: true, syncIntervalMs };
  const merged = mergeMembers(joined, event.members, context);
  const withNews = mergeNews(merged.state, event.news, context);
  const actions: MembershipAction[] = [
    ...merged.actions,
    ...withNews.actions,
    {
      kind: MembershipActionKind.ReportGeneration,
      from: event.from,
      generation: event.generation,
    },
  ];
  const lacked = event.isEqual || event.isPush ? [] : listLacked(withNews.state, event.members);
  if (lacked.length > 0) {
    actions.push({
      kind: MembershipActionKind.Sync,
      address: event.address,
      members: lacked,
      digest: hashMembership(withNews.state),
      isPush: true,
    });
  }
  return { state: withNews.state, actions };
};
