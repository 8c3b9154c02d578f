import { DispatchPolicy } from '@sardinegrade/dispatch';

import { HISTORY, QUERY, REPORT, WORKSPACES, createLoadClass } from './classes.js';
import { buildEngines, computeCapacity } from './engines.js';
import { runScenario } from './runScenario.js';

import type { ClusterEngine, ClusterOptions } from '../../harness/index.js';
import type { LoadProfile } from '../../load/index.js';
import type { Scenario, ScenarioResult } from './runScenario.js';

/** Demand by class as a part of the capacity of all engines. */
export interface Demand {
  readonly query: number;
  readonly report: number;
  readonly history: number;
}

/**
 * Builds one data centre with daemons and engines of one kind.
 *
 * @param vms - number of entry daemons
 * @param engines - number of engines
 * @param changes - further flags and proxies of the engines
 * @returns the cluster
 */
export const buildCluster = (
  vms: number,
  engines: number,
  changes: Partial<ClusterEngine> = {},
): ClusterOptions => ({
  dataCentres: [
    {
      name: 'dc-a',
      vms: Array.from({ length: vms }, () => ({})),
      engines: buildEngines(engines, undefined, changes),
    },
  ],
  classes: [QUERY.cluster, REPORT.cluster, HISTORY.cluster],
  workspaces: WORKSPACES,
});

/**
 * Builds a load of all classes.
 *
 * @param seed - seed of its chances
 * @param durationMs - how long requests arrive
 * @param engines - number of engines whose capacity the demand refers to
 * @param demand - the demand by class
 * @returns the load
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

/** The product and the naive policy under the same scenario. */
export interface Comparison {
  readonly product: ScenarioResult;
  readonly naive: ScenarioResult;
}

/**
 * Runs a scenario against the product and against the naive policy.
 *
 * @param scenario - cluster, load and faults
 * @returns what came of both
 */
export const runComparison = async (scenario: Scenario): Promise<Comparison> => ({
  product: await runScenario(scenario, DispatchPolicy.Tiered),
  naive: await runScenario(scenario, DispatchPolicy.Naive),
});
