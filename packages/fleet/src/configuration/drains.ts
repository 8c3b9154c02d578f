import { DrainScope } from './enums.js';

import type { DataCentreName, UpstreamConfiguration, VmId } from '@sardinegrade/common';
import type { Drain, FleetConfiguration } from './types.js';

const hasDrain = (drains: readonly Drain[], scope: DrainScope, name: string): boolean =>
  drains.some((drain) => drain.scope === scope && drain.name === name);

/**
 * Applies drain marks to a configuration: the affected upstreams are set to draining.
 *
 * @param configuration - configuration without drain marks
 * @param drains - active drain marks
 * @returns the configuration with the drain marks
 */
export const applyDrains = (
  configuration: FleetConfiguration,
  drains: readonly Drain[],
): FleetConfiguration => {
  const withDrain = (upstream: UpstreamConfiguration): UpstreamConfiguration => {
    const isDrained =
      hasDrain(drains, DrainScope.Upstream, upstream.id) ||
      hasDrain(drains, DrainScope.DataCentre, upstream.dataCentre);
    return isDrained ? { ...upstream, draining: true } : upstream;
  };
  const upstreams = new Map(
    [...configuration.upstreams].map(([id, upstream]) => [id, withDrain(upstream)]),
  );
  return { ...configuration, upstreams, drains };
};

/**
 * Returns whether a daemon is drained, so that it must report unready and accept no new work.
 *
 * @param configuration - active configuration
 * @param vm - VM of the daemon
 * @param dataCentre - data centre of the VM
 * @returns whether the VM or its data centre has a drain mark
 */
export const isDrained = (
  configuration: FleetConfiguration,
  vm: VmId,
  dataCentre: DataCentreName,
): boolean =>
  hasDrain(configuration.drains, DrainScope.Vm, vm) ||
  hasDrain(configuration.drains, DrainScope.DataCentre, dataCentre);
