import { DispatchPolicy } from '@sardinegrade/dispatch';

import { HISTORY, QUERY, REPORT, WORKSPACES, createLoadClass } from './classes.js';
import { buildEngines, computeCapacity } from './engines.js';
import { runScenario } from './runScenario.js';

import type { ClusterEngine, ClusterOptions } from '../../harness/index.js';
import type { LoadProfile } from '../../load/index.js';
import type { Scenario, ScenarioResult } from './runScenario.js';

/** Demand by class, as a fraction of the total capacity of the engines. */
export interface Demand {
  readonly query: number;
  readonly report: number;
  readonly history: number;
}

/**
 * Builds a cluster of one data centre with identical daemons and identical engines.
 *
 * @param vms - the number of VMs, with one entry daemon each
 * @param engines - the number of engines
 * @param overrides - further engine options, such as flags or a fault proxy
 * @returns the cluster options
 */
export const buildCluster = (
  vms: number,
  engines: number,
  overrides: Partial<ClusterEngine> = {},
): ClusterOptions => ({
  dataCentres: [
    {
      name: 'dc-a',
      vms: Array.from({ length: vms }, () => ({})),
      engines: buildEngines(engines, undefined, overrides),
    },
  ],
  classes: [QUERY.cluster, REPORT.cluster, HISTORY.cluster],
  workspaces: WORKSPACES,
});

/**
 * Builds a load with requests of all classes.
 *
 * @param seed - the seed of arrivals and lengths
 * @param durationMs - the time in which requests arrive, in milliseconds
 * @param engines - the number of engines whose total capacity the demand refers to
 * @param demand - the demand by class, as a fraction of that capacity
 * @returns the load profile
 */
export const buildProfile = (
  seed: number,
  durationMs: number,
  engines: number,
  demand: Demand,
): LoadProfile => {
  const capacity = computeCapacity() * engines;
  return {
    seed,
    durationMs,
    classes: [
      createLoadClass(QUERY, demand.query * capacity),
      createLoadClass(REPORT, demand.report * capacity),
      createLoadClass(HISTORY, demand.history * capacity),
    ],
  };
};

/** The results of the tiered policy, which is the product's, and of the naive policy. */
export interface Comparison {
  readonly product: ScenarioResult;
  readonly naive: ScenarioResult;
}

/**
 * Runs a scenario under the product's policy and then under the naive policy.
 *
 * @param scenario - cluster, load and faults
 * @returns the results of both runs
 */
export const runComparison = async (scenario: Scenario): Promise<Comparison> => ({
  product: await runScenario(scenario, DispatchPolicy.Tiered),
  naive: await runScenario(scenario, DispatchPolicy.Naive),
});
