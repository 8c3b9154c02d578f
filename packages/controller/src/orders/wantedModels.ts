import { rankByRendezvous } from '@sardinegrade/common';

import type { DataCentreName, UpstreamConfiguration, UpstreamId } from '@sardinegrade/common';
import type { FleetConfiguration, PoolConfiguration, PoolModel } from '@sardinegrade/fleet';

/** What one engine is to hold. */
export interface WantedState {
  readonly upstream: UpstreamConfiguration;
  readonly pool: PoolConfiguration;
  readonly models: readonly PoolModel[];
}

const pickHolders = (
  pool: PoolConfiguration,
  model: PoolModel,
  engines: readonly UpstreamConfiguration[],
): ReadonlySet<UpstreamId> => {
  const ids = engines.map((engine) => engine.id);
  if (pool.copies === 0) return new Set(ids);
  // By the model alone, so that a new version goes where the old one is.
  return new Set(rankByRendezvous(`${pool.name}/${model.model}`, ids).slice(0, pool.copies));
};

/**
 * Works out what each engine of a data centre is to hold. Pools without models and engines that are
 * drained are left alone.
 *
 * @param configuration - the configuration in force
 * @param dataCentre - the data centre
 * @returns the engines that may get orders
 */
export const buildWantedStates = (
  configuration: FleetConfiguration,
  dataCentre: DataCentreName,
): readonly WantedState[] => {
  const upstreams = [...configuration.upstreams.values()];
  return [...configuration.pools.values()].flatMap((pool) => {
    if (pool.models.length === 0) return [];
    const engines = upstreams.filter(
      (upstream) =>
        upstream.pool === pool.name && upstream.dataCentre === dataCentre && !upstream.draining,
    );
    const holders = pool.models.map((model) => ({
      model,
      ids: pickHolders(pool, model, engines),
    }));
    return engines.map((upstream) => ({
      upstream,
      pool,
      models: holders.filter(({ ids }) => ids.has(upstream.id)).map(({ model }) => model),
    }));
  });
};
