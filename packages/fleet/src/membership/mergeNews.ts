import { NEWS_LIFETIME_LIMIT_MS, NEWS_LIMIT } from './constants.js';
import { MembershipActionKind } from './enums.js';
import { computeSends } from './limits.js';

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
  const kept = [...news].sort(([, a], [, b]) => b.news.expiresAtMs - a.news.expiresAtMs);
  return new Map(kept.slice(0, NEWS_LIMIT));
};

/**
 * Takes one fact into the state.
 *
 * @param state - the membership
 * @param heard - the fact
 * @param context - time and random source
 * @returns the next state, with a report where the fact was new
 */
export const mergeNewsItem = (
  state: MembershipState,
  heard: News,
  context: MembershipContext,
): MembershipStep => {
  const latest = context.nowMs + NEWS_LIFETIME_LIMIT_MS;
  const news = { ...heard, expiresAtMs: Math.min(heard.expiresAtMs, latest) };
  const key = `${news.kind}:${news.subject}`;
  const isLive = news.expiresAtMs > context.nowMs;
  if (!isLive || !isNewer(news, state.news.get(key)?.news)) return { state, actions: [] };
  const record = { news, sendsLeft: computeSends(state) };
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
 * Takes several facts into the state.
 *
 * @param state - the membership
 * @param items - the facts
 * @param context - time and random source
 * @returns the next state, with a report for each new fact
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
