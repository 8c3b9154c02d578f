import { DrainScope } from './enums.js';

import type { DataCentreName, UpstreamConfiguration, VmId } from '@sardinegrade/common';
import type { Drain, FleetConfiguration } from './types.js';

const hasDrain = (drains: readonly Drain[], scope: DrainScope, name: string): boolean =>
  drains.some((drain) => drain.scope === scope && drain.name === name);

/**
 * Puts drain marks into a configuration: the upstreams concerned show as draining.
 *
 * @param configuration - the configuration of the text
 * @param drains - the marks in force
 * @returns the configuration with the marks
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
 * Tells whether a daemon is to become unready and take no new work.
 *
 * @param configuration - the configuration in force
 * @param vm - the daemon's VM
 * @param dataCentre - where the VM stands
 * @returns whether the VM or its data centre is marked
 */
export const isDrained = (
  configuration: FleetConfiguration,
  vm: VmId,
  dataCentre: DataCentreName,
): boolean =>
  hasDrain(configuration.drains, DrainScope.Vm, vm) ||
  hasDrain(configuration.drains, DrainScope.DataCentre, dataCentre);
