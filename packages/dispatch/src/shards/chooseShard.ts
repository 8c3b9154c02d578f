import { rankByRendezvous } from '@sardinegrade/common';

import type { RandomSource } from '../types.js';
import type { ShardChoice, ShardView } from './types.js';

const DEFAULT_CHOICE_COUNT = 2;

/** The weight of a shard's reported queue decreases linearly to 0 over this time. */
const VIEW_LIFETIME_MS = 5_000;

/** The preferred shard of a prefix is chosen if its estimated wait exceeds the shortest one by at most this. */
const MAX_AFFINITY_WAIT_MS = 150;

/** A shard in another data centre must save more than this, in addition to the network delay. */
const MIN_REMOTE_GAIN_MS = 100;

const estimateWaitMs = (shard: ShardView, nowMs: number): number => {
  if (shard.updatedAtMs === undefined) return 0;
  const freshness = Math.max(0, 1 - (nowMs - shard.updatedAtMs) / VIEW_LIFETIME_MS);
  const excessRequests = Math.max(0, shard.queued + 1 - shard.freeSlots);
  return (freshness * excessRequests * shard.holdMs) / Math.max(1, shard.slots);
};

const pickAtRandom = <Key extends string>(
  shards: readonly ShardView<Key>[],
  count: number,
  random: RandomSource,
): readonly ShardView<Key>[] => {
  const remaining = [...shards];
  const picked: ShardView<Key>[] = [];
  while (picked.length < count && remaining.length > 0)
    picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  return picked;
};

const pickShortestWait = <Key extends string>(
  shards: readonly ShardView<Key>[],
  nowMs: number,
): ShardView<Key> | undefined => {
  let best: ShardView<Key> | undefined;
  for (const shard of shards) {
    const isShorter =
      best === undefined || estimateWaitMs(shard, nowMs) < estimateWaitMs(best, nowMs);
    if (isShorter) best = shard;
  }
  return best;
};

const findPreferred = <Key extends string>(
  shards: readonly ShardView<Key>[],
  prefixBlock: number | undefined,
): ShardView<Key> | undefined => {
  if (prefixBlock === undefined) return undefined;
  const keys = shards.map(({ key }) => key);
  const [first] = rankByRendezvous(String(prefixBlock), keys);
  return shards.find(({ key }) => key === first);
};

const chooseAmong = <Key extends string>(
  shards: readonly ShardView<Key>[],
  choice: ShardChoice<Key>,
  random: RandomSource,
): ShardView<Key> | undefined => {
  const { nowMs, prefixBlock, choices = DEFAULT_CHOICE_COUNT } = choice;
  const shortest = pickShortestWait(pickAtRandom(shards, choices, random), nowMs);
  const preferred = findPreferred(shards, prefixBlock);
  if (shortest === undefined || preferred === undefined) return shortest;
  const excessMs = estimateWaitMs(preferred, nowMs) - estimateWaitMs(shortest, nowMs);
  return excessMs <= MAX_AFFINITY_WAIT_MS ? preferred : shortest;
};

/**
 * Chooses the shard for a request: the preferred one of its prefix by rendezvous hashing, unless its estimated wait is
 * much longer, otherwise the shorter of two picked at random. A shard in another data centre is chosen only if it saves
 * more time than the network delay costs, or if no local shard is reachable.
 *
 * @param choice - state of the shards and the prefix of the request
 * @param random - returns numbers of at least 0 and below 1
 * @returns the chosen shard, or undefined if none is reachable
 */
export const chooseShard = <Key extends string>(
  choice: ShardChoice<Key>,
  random: RandomSource,
): ShardView<Key> | undefined => {
  const reachable = choice.shards.filter(({ isReachable }) => isReachable);
  const local = chooseAmong(
    reachable.filter(({ networkDelayMs }) => networkDelayMs === 0),
    choice,
    random,
  );
  const remote = chooseAmong(
    reachable.filter(({ networkDelayMs }) => networkDelayMs > 0),
    choice,
    random,
  );
  if (local === undefined || remote === undefined) return local ?? remote;
  const { nowMs } = choice;
  const savedMs =
    estimateWaitMs(local, nowMs) - estimateWaitMs(remote, nowMs) - remote.networkDelayMs;
  return savedMs > MIN_REMOTE_GAIN_MS ? remote : local;
};
