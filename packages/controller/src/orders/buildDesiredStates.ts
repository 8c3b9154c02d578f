import { rankByRendezvous } from '@sardinegrade/common';

import type { DataCentreName, UpstreamConfiguration, UpstreamId } from '@sardinegrade/common';
import type { FleetConfiguration, PoolConfiguration, PoolModel } from '@sardinegrade/fleet';

/** The models that an engine should hold, and its pool. */
export interface DesiredState {
  readonly upstream: UpstreamConfiguration;
  readonly pool: PoolConfiguration;
  readonly models: readonly PoolModel[];
}

const selectEngines = (
  pool: PoolConfiguration,
  model: PoolModel,
  engines: readonly UpstreamConfiguration[],
): ReadonlySet<UpstreamId> => {
  const ids = engines.map((engine) => engine.id);
  if (pool.copies === 0) return new Set(ids);
  // The version is not part of the key, so that a new version is placed on the engines that have the old one.
  return new Set(rankByRendezvous(`${pool.name}/${model.model}`, ids).slice(0, pool.copies));
};

/**
 * Computes the models that each engine of a data centre should hold. Pools without models and draining
 * engines are skipped.
 *
 * @param configuration - the active configuration, with drains applied
 * @param dataCentre - data centre of the engines
 * @returns the desired state of every engine that may receive orders
 */
export const buildDesiredStates = (
  configuration: FleetConfiguration,
  dataCentre: DataCentreName,
): readonly DesiredState[] => {
  const upstreams = [...configuration.upstreams.values()];
  return [...configuration.pools.values()].flatMap((pool) => {
    if (pool.models.length === 0) return [];
    const engines = upstreams.filter(
      (upstream) =>
        upstream.pool === pool.name && upstream.dataCentre === dataCentre && !upstream.draining,
    );
    const modelPlacements = pool.models.map((model) => ({
      model,
      ids: selectEngines(pool, model, engines),
    }));
    return engines.map((upstream) => ({
      upstream,
      pool,
      models: modelPlacements.filter(({ ids }) => ids.has(upstream.id)).map(({ model }) => model),
    }));
  });
};
