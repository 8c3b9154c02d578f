import { DrainScope } from '@sardinegrade/fleet';

import { describeServices } from './describeServices.js';

import type {
  Configuration,
  DrainView,
  StatusView,
  UpstreamView,
  VmView,
  WorkspaceView,
} from '@sardinegrade/common';
import type { Drain, Member } from '@sardinegrade/fleet';
import type { AdministrationContext } from '../types.js';

/**
 * Describes the active drains.
 *
 * @param context - state of this daemon
 * @returns the drains of the active configuration
 */
export const describeDrains = (context: AdministrationContext): readonly DrainView[] => {
  const drains = context.fleet.getConfiguration()?.drains ?? [];
  return drains.map(({ scope, name, author, sinceMs }) => ({
    scope,
    name,
    author,
    since_ms: sinceMs,
  }));
};

const isVmDraining = (member: Member, drains: readonly Drain[]): boolean =>
  drains.some(({ scope, name }) => {
    if (scope === DrainScope.Vm) return name === member.vm;
    return scope === DrainScope.DataCentre && name === member.dataCentre;
  });

/**
 * Describes the VMs known to this daemon.
 *
 * @param context - state of this daemon
 * @returns the VMs, each with the active generation that it last reported
 */
export const describeVms = (context: AdministrationContext): readonly VmView[] => {
  const drains = context.fleet.getConfiguration()?.drains ?? [];
  const ownGeneration = context.fleet.getConfigurationStatus().generation;
  return context.fleet.getMembers().map((member) => ({
    vm: member.vm,
    data_centre: member.dataCentre,
    address: member.address,
    state: member.state,
    generation:
      member.vm === context.vm ? ownGeneration : context.fleet.getMemberGeneration(member.vm),
    draining: isVmDraining(member, drains),
  }));
};

/**
 * Describes the configured upstreams.
 *
 * @param context - state of this daemon
 * @param configuration - the active configuration
 * @returns the upstreams; health and grants are set if this daemon has a state for the upstream
 */
export const describeUpstreams = (
  context: AdministrationContext,
  configuration: Configuration,
): readonly UpstreamView[] => {
  const states = new Map(context.listUpstreamStates().map((state) => [state.upstream, state]));
  return [...configuration.upstreams.values()].map((upstream) => {
    const state = states.get(upstream.id);
    return {
      id: upstream.id,
      pool: upstream.pool,
      data_centre: upstream.dataCentre,
      address: upstream.address,
      slots: upstream.slots,
      fencing: upstream.fencing,
      draining: upstream.draining,
      health: state?.health,
      granted: state?.granted,
      limit: state?.limit,
    };
  });
};

/**
 * Describes the configured workspaces.
 *
 * @param context - state of this daemon
 * @param configuration - the active configuration
 * @returns the workspaces with their recent attainment at this daemon
 */
export const describeWorkspaces = (
  context: AdministrationContext,
  configuration: Configuration,
): readonly WorkspaceView[] =>
  [...configuration.workspaces.values()].map(({ name, weight, keyHashes }) => ({
    name,
    weight,
    keys: keyHashes.length,
    attainment: context.metrics.getWorkspaceAttainment(name),
  }));

/**
 * Describes this daemon and the fleet as known to it.
 *
 * @param context - state of this daemon
 * @returns the status; without services until a configuration is active
 */
export const describeStatus = (context: AdministrationContext): StatusView => {
  const configuration = context.fleet.getConfiguration();
  const { generation, highestKnownGeneration } = context.fleet.getConfigurationStatus();
  return {
    vm: context.vm,
    data_centre: context.dataCentre,
    ready: context.isReady(),
    generation,
    highest_generation: highestKnownGeneration,
    drains: [...describeDrains(context)],
    services: configuration === undefined ? [] : [...describeServices(context, configuration)],
    vms: [...describeVms(context)],
  };
};
