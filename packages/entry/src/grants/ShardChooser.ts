import { TIER_RANK } from '@sardinegrade/common';
import { chooseShard } from '@sardinegrade/dispatch';

import { countUpToRank } from './shardLoad.js';

import type { Clock, DataCentreName, PoolName, Tier } from '@sardinegrade/common';
import type { RandomSource, ShardView } from '@sardinegrade/dispatch';
import type { Shard, ShardKey, ShardLoad } from './types.js';

/** What the way to another data centre and back adds to each step of a request. */
const OTHER_DATA_CENTRE_MS = 5;

/** How long a request is taken to hold its place before any has ended. */
const FIRST_HOLD_MS = 2_000;

/** Weight of the latest request in the mean time that requests hold their places. */
const HOLD_WEIGHT = 0.05;

/** What the choice depends on besides the shards. */
export interface ShardChooserOptions {
  readonly dataCentre: DataCentreName;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Whether a daemon of the data centre has been heard of lately. */
  readonly isReachable: (dataCentre: DataCentreName) => boolean;
}

/** What a request brings to the choice. */
export interface ShardRequest {
  readonly pool: PoolName;
  readonly tier: Tier;
  /** Hashes of the prompt's prefix blocks, shortest prefix first. */
  readonly prefixBlocks: readonly number[];
}

/** Chooses the shard of a request by the last-known load of each. */
export class ShardChooser {
  readonly #options: ShardChooserOptions;
  readonly #loads = new Map<ShardKey, ShardLoad>();
  readonly #holdMs = new Map<PoolName, number>();

  constructor(options: ShardChooserOptions) {
    this.#options = options;
  }

  readonly updateLoads = (loads: ReadonlyMap<ShardKey, ShardLoad>): void => {
    for (const [key, load] of loads) this.#loads.set(key, load);
  };

  /**
   * Takes into account how long a request held its place.
   *
   * @param pool - the pool of its engine
   * @param durationMs - from grant to release
   */
  readonly recordHold = (pool: PoolName, durationMs: number): void => {
    const known = this.#holdMs.get(pool) ?? FIRST_HOLD_MS;
    this.#holdMs.set(pool, known + HOLD_WEIGHT * (durationMs - known));
  };

  /**
   * Chooses a shard.
   *
   * @param shards - the shards of the request's pool
   * @param request - what the request brings
   * @returns the shard; undefined where the pool has none
   */
  readonly choose = (shards: readonly Shard[], request: ShardRequest): Shard | undefined => {
    const rank = TIER_RANK[request.tier];
    const views = shards.map((shard) => this.#buildView(shard, rank));
    const choice = {
      shards: views,
      prefixBlock: request.prefixBlocks[0],
      nowMs: this.#options.clock.getNowMs(),
    };
    const key = chooseShard(choice, this.#options.random)?.key;
    const chosen = shards.find((shard) => shard.key === key);
    if (chosen !== undefined) this.#countAsk(chosen.key, rank);
    // Out of reach of every data centre that has the pool, the request still gets its try.
    return chosen ?? shards[0];
  };

  readonly #buildView = (shard: Shard, rank: number): ShardView<ShardKey> => {
    const load = this.#loads.get(shard.key);
    const isLocal = shard.dataCentre === this.#options.dataCentre;
    const slots = load?.slots ?? 0;
    return {
      key: shard.key,
      queued: countUpToRank(load?.queuedByRank ?? [], rank),
      freeSlots: Math.max(0, slots - countUpToRank(load?.grantedByRank ?? [], rank)),
      slots,
      holdMs: this.#holdMs.get(shard.pool) ?? FIRST_HOLD_MS,
      updatedAtMs: load?.atMs,
      isReachable: isLocal || this.#options.isReachable(shard.dataCentre),
      networkDelayMs: isLocal ? 0 : OTHER_DATA_CENTRE_MS,
    };
  };

  /** Counts what this daemon sent there itself until the next news of the shard. */
  readonly #countAsk = (key: ShardKey, rank: number): void => {
    const load = this.#loads.get(key);
    if (load === undefined) return;
    const queuedByRank = load.queuedByRank.map((count, at) => (at === rank ? count + 1 : count));
    this.#loads.set(key, { ...load, queuedByRank });
  };
}
