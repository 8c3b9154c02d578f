import { hashText } from '@sardinegrade/common';

import { SYNC_BUCKET_COUNT } from './constants.js';

import type { News } from '../types.js';
import type { MembershipState } from './types.js';

const getNewsBucket = ({ kind, subject }: News): number =>
  hashText(`${kind}:${subject}`) % SYNC_BUCKET_COUNT;

/**
 * Computes a digest of each bucket of the known news. Expiry times don't affect it: a daemon whose clock is behind caps
 * them at other values.
 *
 * @param state - current membership state
 * @returns a 32-bit digest per bucket, equal for the same items with the same counts
 */
export const hashNews = (state: MembershipState): readonly number[] => {
  const digests = Array.from({ length: SYNC_BUCKET_COUNT }, () => 0);
  for (const { news } of state.news.values()) {
    const bucket = getNewsBucket(news);
    const hash = hashText(`${news.kind}:${news.subject}/${news.count}`);
    digests[bucket] = ((digests[bucket] ?? 0) + hash) >>> 0;
  }
  return digests;
};

/**
 * @param state - current membership state
 * @param buckets - buckets of the news
 * @returns all known news of these buckets
 */
export const listNewsInBuckets = (
  state: MembershipState,
  buckets: readonly number[],
): readonly News[] => {
  if (buckets.length === 0) return [];
  const wanted = new Set(buckets);
  return [...state.news.values()]
    .map((record) => record.news)
    .filter((news) => wanted.has(getNewsBucket(news)));
};

/**
 * Lists the news that another daemon does not know, or knows with a lower count.
 *
 * @param state - current membership state
 * @param received - all news of the other daemon in the buckets
 * @param buckets - buckets in which the known news differs
 * @returns the news to send to the other daemon
 */
export const listMissingNews = (
  state: MembershipState,
  received: readonly News[],
  buckets: readonly number[],
): readonly News[] => {
  const counts = new Map(received.map(({ kind, subject, count }) => [`${kind}:${subject}`, count]));
  return listNewsInBuckets(state, buckets).filter(({ kind, subject, count }) => {
    const known = counts.get(`${kind}:${subject}`);
    return known === undefined || count > known;
  });
};
