import { TIER_RANK } from '@sardinegrade/common';
import { chooseShard } from '@sardinegrade/dispatch';

import { countUpToRank } from './shardLoad.js';

import type { Clock, DataCentreName, PoolName, Tier } from '@sardinegrade/common';
import type { RandomSource, ShardView } from '@sardinegrade/dispatch';
import type { Shard, ShardKey, ShardLoad } from './types.js';

/** Assumed network round-trip time that a dispatcher in another data centre adds to a request. */
const CROSS_DATA_CENTRE_DELAY_MS = 5;

/** Initial value of the moving average of the time that requests hold their slots. */
const INITIAL_HOLD_MS = 2_000;

/** Weight of the latest request in the moving average of the time that requests hold their slots. */
const HOLD_SMOOTHING_FACTOR = 0.05;

/** Settings and dependencies of a `ShardChooser`. */
export interface ShardChooserOptions {
  readonly dataCentre: DataCentreName;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Whether the data centre has a live daemon that is not considered unavailable. */
  readonly isReachable: (dataCentre: DataCentreName) => boolean;
}

/** Properties of a request that determine its shard. */
export interface ShardRequest {
  readonly pool: PoolName;
  readonly tier: Tier;
  /** Hashes of the prompt's prefix blocks, shortest prefix first. */
  readonly prefixBlocks: readonly number[];
}

/** Chooses the shard of a request by the last-known load of the candidates. */
export class ShardChooser {
  readonly #options: ShardChooserOptions;
  readonly #loads = new Map<ShardKey, ShardLoad>();
  readonly #meanHoldMs = new Map<PoolName, number>();

  constructor(options: ShardChooserOptions) {
    this.#options = options;
  }

  readonly updateLoads = (loads: ReadonlyMap<ShardKey, ShardLoad>): void => {
    for (const [key, load] of loads) this.#loads.set(key, load);
  };

  /**
   * Updates the average time that requests of a pool hold their slots.
   *
   * @param pool - the pool of the request's engine
   * @param durationMs - time from grant to release, in milliseconds
   */
  readonly recordHoldTime = (pool: PoolName, durationMs: number): void => {
    const meanHoldMs = this.#meanHoldMs.get(pool) ?? INITIAL_HOLD_MS;
    this.#meanHoldMs.set(pool, meanHoldMs + HOLD_SMOOTHING_FACTOR * (durationMs - meanHoldMs));
  };

  /**
   * Chooses a shard for a request.
   *
   * @param shards - candidate shards of the request's pool
   * @param request - the request's properties
   * @returns the shard; undefined if there are no candidates
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
    if (chosen !== undefined) this.#countSentRequest(chosen.key, rank);
    // If no data centre with the pool seems reachable, the request is still tried on the first shard.
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
      holdMs: this.#meanHoldMs.get(shard.pool) ?? INITIAL_HOLD_MS,
      updatedAtMs: load?.atMs,
      isReachable: isLocal || this.#options.isReachable(shard.dataCentre),
      networkDelayMs: isLocal ? 0 : CROSS_DATA_CENTRE_DELAY_MS,
    };
  };

  /** Adds a request that this daemon sent to the shard's queue length, until the next load report replaces it. */
  readonly #countSentRequest = (key: ShardKey, rank: number): void => {
    const load = this.#loads.get(key);
    if (load === undefined) return;
    const queuedByRank = load.queuedByRank.map((count, at) => (at === rank ? count + 1 : count));
    this.#loads.set(key, { ...load, queuedByRank });
  };
}
