import { Tier, TIER_RANK } from '@sardinegrade/common';

import type { ClassName, Configuration, ServiceName } from '@sardinegrade/common';
import type { DispatcherSnapshot } from '@sardinegrade/dispatch';
import type { ShardLoad } from './types.js';

const TIERS = Object.values(Tier).length;

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
  const sums = Array.from({ length: TIERS }, () => 0);
  for (const [key, count] of Object.entries(counts)) {
    const rank = findRank(configuration, key);
    sums[rank] = (sums[rank] ?? 0) + count;
  }
  return sums;
};

/**
 * Builds the load of a shard as other daemons get to know it.
 *
 * @param snapshot - its dispatcher's state
 * @param configuration - the configuration in force
 * @param atMs - the present
 * @returns waiting requests and places held, by rank of tier
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
 * Sums the load that counts for a tier: its own and that of the tiers above.
 *
 * @param byRank - counts by rank of tier
 * @param rank - the tier's rank
 * @returns the sum
 */
export const countUpToRank = (byRank: readonly number[], rank: number): number =>
  byRank.slice(0, rank + 1).reduce((sum, count) => sum + count, 0);
