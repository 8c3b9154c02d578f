import { NEWS_LIFETIME_LIMIT_MS, NEWS_LIMIT } from './constants.js';
import { MembershipActionKind } from './enums.js';
import { computeTransmitLimit } from './limits.js';

import type { News } from '../types.js';
import type {
  MembershipAction,
  MembershipContext,
  MembershipState,
  MembershipStep,
  NewsRecord,
} from './types.js';

const isNewer = (news: News, known: News | undefined): boolean => {
  if (known === undefined) return true;
  if (news.count !== known.count) return news.count > known.count;
  return news.expiresAtMs > known.expiresAtMs;
};

const keepLatestExpiring = (
  news: ReadonlyMap<string, NewsRecord>,
): ReadonlyMap<string, NewsRecord> => {
  if (news.size <= NEWS_LIMIT) return news;
  // The order is total, so that daemons that know the same items keep the same ones.
  const kept = [...news].sort(
    ([leftKey, left], [rightKey, right]) =>
      right.news.expiresAtMs - left.news.expiresAtMs || (leftKey < rightKey ? -1 : 1),
  );
  return new Map(kept.slice(0, NEWS_LIMIT));
};

/**
 * Merges a news item if it is newer than the known one. Its lifetime is capped at `NEWS_LIFETIME_LIMIT_MS`.
 *
 * @param state - current membership state
 * @param received - news item from a peer or from this daemon
 * @param context - current time and random source
 * @returns the next state, and a report if the item was new
 */
export const mergeNewsItem = (
  state: MembershipState,
  received: News,
  context: MembershipContext,
): MembershipStep => {
  const latestExpiryMs = context.nowMs + NEWS_LIFETIME_LIMIT_MS;
  const news = { ...received, expiresAtMs: Math.min(received.expiresAtMs, latestExpiryMs) };
  const key = `${news.kind}:${news.subject}`;
  const isLive = news.expiresAtMs > context.nowMs;
  if (!isLive || !isNewer(news, state.news.get(key)?.news)) return { state, actions: [] };
  const record = { news, sendsLeft: computeTransmitLimit(state) };
  return {
    state: {
      ...state,
      news: keepLatestExpiring(new Map(state.news).set(key, record)),
      isUrgent: true,
    },
    actions: [{ kind: MembershipActionKind.ReportNews, news }],
  };
};

/**
 * Merges several news items in order.
 *
 * @param state - current membership state
 * @param items - received news items
 * @param context - current time and random source
 * @returns the next state, and a report for each new item
 */
export const mergeNews = (
  state: MembershipState,
  items: readonly News[],
  context: MembershipContext,
): MembershipStep => {
  let next = state;
  const actions: MembershipAction[] = [];
  for (const news of items) {
    const step = mergeNewsItem(next, news, context);
    next = step.state;
    actions.push(...step.actions);
  }
  return { state: next, actions };
};
