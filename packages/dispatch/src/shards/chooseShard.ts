import { rankByRendezvous } from '@sardinegrade/common';

import type { RandomSource } from '../types.js';
import type { ShardChoice, ShardView } from './types.js';

const DEFAULT_CHOICES = 2;

/** What is known of a shard's queue fades out over this time. */
const VIEW_LIFETIME_MS = 5_000;

/** The shard that a prefix belongs to is taken while its wait exceeds the best other's by this much at most. */
const AFFINITY_WAIT_MS = 150;

/** Another data centre must save at least this much beside the way there. */
const SPILL_GAIN_MS = 100;

const estimateWaitMs = (shard: ShardView, nowMs: number): number => {
  if (shard.knownAtMs === undefined) return 0;
  const freshness = Math.max(0, 1 - (nowMs - shard.knownAtMs) / VIEW_LIFETIME_MS);
  const excess = Math.max(0, shard.queued + 1 - shard.freeSlots);
  return (freshness * excess * shard.holdMs) / Math.max(1, shard.slots);
};

const pickSome = <Key extends string>(
  shards: readonly ShardView<Key>[],
  count: number,
  random: RandomSource,
): readonly ShardView<Key>[] => {
  const left = [...shards];
  const picked: ShardView<Key>[] = [];
  while (picked.length < count && left.length > 0)
    picked.push(...left.splice(Math.floor(random() * left.length), 1));
  return picked;
};

const pickShortest = <Key extends string>(
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
  const { nowMs, prefixBlock, choices = DEFAULT_CHOICES } = choice;
  const shortest = pickShortest(pickSome(shards, choices, random), nowMs);
  const preferred = findPreferred(shards, prefixBlock);
  if (shortest === undefined || preferred === undefined) return shortest;
  const excessMs = estimateWaitMs(preferred, nowMs) - estimateWaitMs(shortest, nowMs);
  return excessMs <= AFFINITY_WAIT_MS ? preferred : shortest;
};

/**
 * Chooses the shard that a request is sent to: the one that its prefix belongs to, while its queue is not much
 * longer, else the shorter of two taken at random. Another data centre is chosen only where it can be reached and
 * the time that it saves exceeds the way there.
 *
 * @param choice - what is known of the shards
 * @param random - the random source
 * @returns the shard, or undefined where none can be reached
 */
export const chooseShard = <Key extends string>(
  choice: ShardChoice<Key>,
  random: RandomSource,
): ShardView<Key> | undefined => {
  const reachable = choice.shards.filter(({ isReachable }) => isReachable);
  const near = chooseAmong(
    reachable.filter(({ distanceMs }) => distanceMs === 0),
    choice,
    random,
  );
  const far = chooseAmong(
    reachable.filter(({ distanceMs }) => distanceMs > 0),
    choice,
    random,
  );
  if (near === undefined || far === undefined) return near ?? far;
  const { nowMs } = choice;
  const savedMs = estimateWaitMs(near, nowMs) - estimateWaitMs(far, nowMs) - far.distanceMs;
  return savedMs > SPILL_GAIN_MS ? far : near;
};
