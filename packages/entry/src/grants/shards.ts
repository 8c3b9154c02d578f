import type { Configuration, DataCentreName, PoolName, UpstreamId } from '@sardinegrade/common';
import type { Shard, ShardKey } from './types.js';

const collectByDataCentre = (
  configuration: Configuration,
  pool: PoolName,
): ReadonlyMap<DataCentreName, UpstreamId[]> => {
  const groups = new Map<DataCentreName, UpstreamId[]>();
  for (const upstream of configuration.upstreams.values()) {
    if (upstream.pool !== pool) continue;
    const group = groups.get(upstream.dataCentre) ?? [];
    group.push(upstream.id);
    groups.set(upstream.dataCentre, group);
  }
  return groups;
};

const splitGroup = (
  pool: PoolName,
  dataCentre: DataCentreName,
  upstreams: readonly UpstreamId[],
  shardSize: number,
): readonly Shard[] => {
  const sorted = [...upstreams].sort();
  const count = Math.ceil(sorted.length / shardSize);
  return Array.from({ length: count }, (_, index) => ({
    key: `${pool}/${dataCentre}/${index}` as ShardKey,
    pool,
    dataCentre,
    upstreams: sorted.filter((_upstream, position) => position % count === index),
  }));
};

/**
 * Divides the upstreams of a pool into shards within each data centre.
 *
 * @param configuration - the active configuration
 * @param pool - the pool to divide
 * @param shardSize - maximum number of upstreams in a shard
 * @returns all shards of the pool; the result is the same on every daemon with the same configuration
 */
export const buildShards = (
  configuration: Configuration,
  pool: PoolName,
  shardSize: number,
): readonly Shard[] =>
  [...collectByDataCentre(configuration, pool)].flatMap(([dataCentre, upstreams]) =>
    splitGroup(pool, dataCentre, upstreams, shardSize),
  );

/** The shards of all pools of one configuration, indexed by pool, key and upstream. */
export class ShardTable {
  readonly #byPool: ReadonlyMap<PoolName, readonly Shard[]>;
  readonly #byKey: ReadonlyMap<ShardKey, Shard>;
  readonly #byUpstream: ReadonlyMap<UpstreamId, Shard>;

  constructor(configuration: Configuration, shardSize: number) {
    const pools = new Set([...configuration.upstreams.values()].map(({ pool }) => pool));
    this.#byPool = new Map(
      [...pools].map((pool) => [pool, buildShards(configuration, pool, shardSize)]),
    );
    const shards = [...this.#byPool.values()].flat();
    this.#byKey = new Map(shards.map((shard) => [shard.key, shard]));
    this.#byUpstream = new Map(
      shards.flatMap((shard) => shard.upstreams.map((upstream) => [upstream, shard] as const)),
    );
  }

  readonly listByPool = (pool: PoolName): readonly Shard[] => this.#byPool.get(pool) ?? [];

  readonly getShard = (key: ShardKey): Shard | undefined => this.#byKey.get(key);

  readonly findByUpstream = (upstream: UpstreamId): Shard | undefined =>
    this.#byUpstream.get(upstream);
}
