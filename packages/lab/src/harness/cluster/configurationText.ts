import { hashKey } from '@sardinegrade/fleet';

import { formatIni } from '../formatIni.js';

import type { IniSection, IniSections } from '../formatIni.js';
import type { ClusterClass, ClusterOptions } from './types.js';

/** Name of the model service of every cluster. */
export const CLUSTER_SERVICE = 'counter';
export const CLUSTER_MODEL = 'drill-7b';
export const CLUSTER_POOL = 'engines';

/** An engine's address and properties for the configuration. */
export interface EngineEndpoint {
  readonly id: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly slots: number;
}

/**
 * Gets the API key of a workspace.
 *
 * @param workspace - name of the workspace
 * @returns the key that its callers send
 */
export const getWorkspaceKey = (workspace: string): string => `key-${workspace}`;

const buildClass = (serviceClass: ClusterClass): IniSection => ({
  tier: serviceClass.tier,
  priority: serviceClass.priority,
  first_token_target: `${serviceClass.firstTokenTargetMs}ms`,
  token_interval_target: `${serviceClass.tokenIntervalTargetMs}ms`,
  deadline: `${serviceClass.deadlineMs}ms`,
  minimum_share: serviceClass.minimumShare,
  queue_limit: serviceClass.queueLimit,
});

const buildUpstream = (engine: EngineEndpoint): IniSection => ({
  pool: CLUSTER_POOL,
  data_centre: engine.dataCentre,
  address: engine.address,
  slots: engine.slots,
  fencing: 'checked',
});

const buildWorkspace = (name: string): IniSection => ({
  key_sha256: [hashKey(getWorkspaceKey(name))],
});

/**
 * Builds the configuration text of a cluster.
 *
 * @param options - options of the cluster
 * @param engines - endpoints of its engines
 * @returns the configuration as an INI text
 */
export const buildConfigurationText = (
  options: ClusterOptions,
  engines: readonly EngineEndpoint[],
): string => {
  const sections: IniSections = {
    [`service.${CLUSTER_SERVICE}`]: {
      kind: 'model',
      model: CLUSTER_MODEL,
      pool: CLUSTER_POOL,
      default_class: options.classes[0]?.name,
      ...options.service,
    },
    ...Object.fromEntries(
      options.classes.map((serviceClass) => [
        `service.${CLUSTER_SERVICE}.class.${serviceClass.name}`,
        buildClass(serviceClass),
      ]),
    ),
    ...Object.fromEntries(
      options.workspaces.map((name) => [`workspace.${name}`, buildWorkspace(name)]),
    ),
    ...Object.fromEntries(
      engines.map((engine) => [`upstream.${engine.id}`, buildUpstream(engine)]),
    ),
    ...options.configuration,
  };
  return formatIni(sections);
};
