import { Tier, TIER_RANK } from '@sardinegrade/common';

import type { ClassName, Configuration, ServiceName } from '@sardinegrade/common';
import type { DispatcherSnapshot } from '@sardinegrade/dispatch';
import type { ShardLoad } from './types.js';

const TIER_COUNT = Object.values(Tier).length;

const findRank = (configuration: Configuration, key: string): number => {
  const [service = '', className = ''] = key.split('/');
  const serviceClass = configuration.services
    .get(service as ServiceName)
    ?.classes.get(className as ClassName);
  return TIER_RANK[serviceClass?.tier ?? Tier.Free];
};

const countByRank = (
  configuration: Configuration,
  counts: Readonly<Record<string, number>>,
): readonly number[] => {
  const sums = Array.from({ length: TIER_COUNT }, () => 0);
  for (const [key, count] of Object.entries(counts)) {
    const rank = findRank(configuration, key);
    sums[rank] = (sums[rank] ?? 0) + count;
  }
  return sums;
};

/**
 * Builds the load of a shard that is sent to other daemons.
 *
 * @param snapshot - state of the shard's dispatcher
 * @param configuration - the active configuration
 * @param atMs - current time, in milliseconds
 * @returns waiting requests and slots in use, by rank of tier
 */
export const buildShardLoad = (
  snapshot: DispatcherSnapshot,
  configuration: Configuration,
  atMs: number,
): ShardLoad => ({
  queuedByRank: countByRank(configuration, snapshot.queuedByClass),
  grantedByRank: countByRank(configuration, snapshot.grantedByClass ?? {}),
  slots: snapshot.upstreams.reduce((sum, { limit }) => sum + limit, 0),
  atMs,
});

/**
 * Sums the load that a request of a tier competes with: that of its own tier and of all higher tiers.
 *
 * @param byRank - counts by rank of tier
 * @param rank - rank of the tier; 0 is the highest
 * @returns the sum of the counts from rank 0 up to and including the given rank
 */
export const countUpToRank = (byRank: readonly number[], rank: number): number =>
  byRank.slice(0, rank + 1).reduce((sum, count) => sum + count, 0);
