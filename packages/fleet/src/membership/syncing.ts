import { compareMembers, isPresent } from './compareMembers.js';
import { SYNC_BUCKETS, SYNC_INTERVAL_MS } from './constants.js';
import { MembershipActionKind } from './enums.js';
import { getBucket, hashBuckets } from './members.js';
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

const ALL_BUCKETS: readonly number[] = Array.from({ length: SYNC_BUCKETS }, (_, index) => index);

const listBuckets = (state: MembershipState, buckets: readonly number[]): readonly Member[] => {
  if (buckets.length === 0) return [];
  const wanted = new Set(buckets);
  return listAll(state).filter((member) => wanted.has(getBucket(member.vm)));
};

/**
 * Answers another daemon's sync.
 *
 * @param state - the membership
 * @param event - the other's request
 * @param context - time and random source
 * @returns the merged state, and the reply with the parts that differ
 */
export const handleSync = (
  state: MembershipState,
  event: SyncEvent,
  context: MembershipContext,
): MembershipStep => {
  const merged = mergeMembers(state, [...event.members, event.sender], context);
  const own = hashBuckets(merged.state);
  const buckets = ALL_BUCKETS.filter((bucket) => own[bucket] !== event.digests[bucket]);
  const known = state.records.get(event.sender.vm)?.member;
  const isNewcomer = known === undefined || known.incarnation < event.sender.incarnation;
  const news = [...merged.state.news.values()].map((record) => record.news);
  const reply: MembershipAction = {
    kind: MembershipActionKind.ReplySync,
    members: listBuckets(merged.state, buckets),
    news: isNewcomer ? news : [],
    buckets,
  };
  const report: MembershipAction = {
    kind: MembershipActionKind.ReportGeneration,
    from: event.sender.vm,
    generation: event.generation,
  };
  return { state: merged.state, actions: [...merged.actions, report, reply] };
};

/** Lists what the other daemon, by its own list, does not know yet. */
const listLacked = (
  state: MembershipState,
  members: readonly Member[],
  buckets: readonly number[],
): readonly Member[] => {
  const known = new Map(members.map((member) => [member.vm, member]));
  return listBuckets(state, buckets).filter((member) => {
    const other = known.get(member.vm);
    return other === undefined || compareMembers(member, other) > 0;
  });
};

/** Tells whether one side named a member that the other did not know at all. */
const isDiscovering = (state: MembershipState, event: SyncAnswer): boolean => {
  const named = new Set(event.members.map((member) => member.vm));
  const own = listBuckets(state, event.buckets).filter(isPresent);
  const isNew = event.members.some(
    (member) => isPresent(member) && member.vm !== state.self.vm && !state.records.has(member.vm),
  );
  return isNew || own.some((member) => !named.has(member.vm));
};

/**
 * @param state - the membership
 * @returns the interval after a sync that found nobody new
 */
export const computeNextInterval = (state: MembershipState): number =>
  Math.min(SYNC_INTERVAL_MS, 2 * state.syncIntervalMs);

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
  const syncIntervalMs = isDiscovering(state, event)
    ? state.syncIntervalMs
    : computeNextInterval(state);
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
  const lacked = event.isPush ? [] : listLacked(withNews.state, event.members, event.buckets);
  if (lacked.length > 0) {
    actions.push({
      kind: MembershipActionKind.Sync,
      address: event.address,
      members: lacked,
      digests: hashBuckets(withNews.state),
      isPush: true,
    });
  }
  return { state: withNews.state, actions };
};
