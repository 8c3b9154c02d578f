import { compareMembers, isPresent } from './compareMembers.js';
import { SYNC_BUCKET_COUNT, MAX_SYNC_INTERVAL_MS } from './constants.js';
import { MembershipActionKind } from './enums.js';
import { getBucket, hashBuckets } from './members.js';
import { mergeMembers } from './mergeMembers.js';
import { mergeNews } from './mergeNews.js';
import { hashNews, listMissingNews, listNewsInBuckets } from './newsBuckets.js';
import { runSteps } from './steps.js';

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

const listAllMembers = (state: MembershipState): readonly Member[] => [
  state.self,
  ...[...state.records.values()].map((record) => record.member),
];

const ALL_BUCKETS: readonly number[] = Array.from(
  { length: SYNC_BUCKET_COUNT },
  (_, index) => index,
);

const listMembersInBuckets = (
  state: MembershipState,
  buckets: readonly number[],
): readonly Member[] => {
  if (buckets.length === 0) return [];
  const wanted = new Set(buckets);
  return listAllMembers(state).filter((member) => wanted.has(getBucket(member.vm)));
};

const listDifferences = (own: readonly number[], received: readonly number[]): readonly number[] =>
  ALL_BUCKETS.filter((bucket) => own[bucket] !== received[bucket]);

/** Lists the buckets of which the sender gets the news. An earlier version sends no digests of news. */
const listNewsDifferences = (
  previous: MembershipState,
  merged: MembershipState,
  { sender, newsDigests }: SyncEvent,
): readonly number[] => {
  if (newsDigests.length > 0) return listDifferences(hashNews(merged), newsDigests);
  const known = previous.records.get(sender.vm)?.member;
  const isNewcomer = known === undefined || known.incarnation < sender.incarnation;
  return isNewcomer ? ALL_BUCKETS : [];
};

/**
 * Handles a sync request of another daemon.
 *
 * @param state - current membership state
 * @param event - received sync request
 * @param context - current time and random source
 * @returns the merged state, and the reply with the members and the news of the differing buckets
 */
export const handleSync = (
  state: MembershipState,
  event: SyncEvent,
  context: MembershipContext,
): MembershipStep => {
  const merged = runSteps(state, [
    (next) => mergeMembers(next, [...event.members, event.sender], context),
    (next) => mergeNews(next, event.news, context),
  ]);
  const buckets = listDifferences(hashBuckets(merged.state), event.digests);
  const newsBuckets = listNewsDifferences(state, merged.state, event);
  const reply: MembershipAction = {
    kind: MembershipActionKind.ReplySync,
    members: listMembersInBuckets(merged.state, buckets),
    news: listNewsInBuckets(merged.state, newsBuckets),
    buckets,
    newsBuckets,
  };
  const report: MembershipAction = {
    kind: MembershipActionKind.ReportGeneration,
    from: event.sender.vm,
    generation: event.generation,
  };
  return { state: merged.state, actions: [...merged.actions, report, reply] };
};

/** Lists the members that the other daemon does not have in its list, or has in an older version. */
const listMissing = (
  state: MembershipState,
  members: readonly Member[],
  buckets: readonly number[],
): readonly Member[] => {
  const known = new Map(members.map((member) => [member.vm, member]));
  return listMembersInBuckets(state, buckets).filter((member) => {
    const other = known.get(member.vm);
    return other === undefined || compareMembers(member, other) > 0;
  });
};

/** Returns whether one of the two daemons had a member that the other had no record of. */
const hasUnknownMember = (state: MembershipState, event: SyncAnswer): boolean => {
  const received = new Set(event.members.map((member) => member.vm));
  const own = listMembersInBuckets(state, event.buckets).filter(isPresent);
  const isNew = event.members.some(
    (member) => isPresent(member) && member.vm !== state.self.vm && !state.records.has(member.vm),
  );
  return isNew || own.some((member) => !received.has(member.vm));
};

/**
 * @param state - current membership state
 * @returns the sync interval, in milliseconds, after a sync that failed or found no new member
 */
export const computeNextSyncInterval = (state: MembershipState): number =>
  Math.min(MAX_SYNC_INTERVAL_MS, 2 * state.syncIntervalMs);

/**
 * Handles the answer to a sync request.
 *
 * @param state - current membership state
 * @param event - received answer
 * @param context - current time and random source
 * @returns the merged state, and a second sync that pushes the members and the news missing on the other side
 */
export const handleSyncAnswer = (
  state: MembershipState,
  event: SyncAnswer,
  context: MembershipContext,
): MembershipStep => {
  const syncIntervalMs = hasUnknownMember(state, event)
    ? state.syncIntervalMs
    : computeNextSyncInterval(state);
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
  const missing = event.isPush ? [] : listMissing(withNews.state, event.members, event.buckets);
  const missingNews = event.isPush
    ? []
    : listMissingNews(withNews.state, event.news, event.newsBuckets);
  if (missing.length > 0 || missingNews.length > 0) {
    actions.push({
      kind: MembershipActionKind.Sync,
      address: event.address,
      members: missing,
      digests: hashBuckets(withNews.state),
      news: missingNews,
      newsDigests: hashNews(withNews.state),
      isPush: true,
    });
  }
  return { state: withNews.state, actions };
};
