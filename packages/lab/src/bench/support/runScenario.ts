import { setTimeout as sleep } from 'node:timers/promises';

import { RunState } from '@sardinegrade/common';

import { startCluster } from '../../harness/index.js';
import { computeSummaries, deriveLoad, runLoad } from '../../load/index.js';
import { hashText } from '../../standins/index.js';

import type { DispatchPolicy } from '@sardinegrade/dispatch';
import type { Cluster, ClusterOptions } from '../../harness/index.js';
import type { ClassSummary, LoadProfile, PlannedRequest, RequestResult } from '../../load/index.js';

/** A cluster, the load sent to it and the faults injected meanwhile. */
export interface Scenario {
  readonly cluster: ClusterOptions;
  readonly profile: LoadProfile;
  /** Injects faults while the load runs, until the signal aborts. */
  readonly injectFaults?: (cluster: Cluster, signal: AbortSignal) => Promise<void>;
  /** Prints a progress message. */
  readonly report: (line: string) => void;
}

/** The results of a scenario under one dispatch policy. */
export interface ScenarioResult {
  readonly policy: DispatchPolicy;
  readonly results: readonly RequestResult[];
  readonly summaries: readonly ClassSummary[];
  /** Tokens that the engines generated. */
  readonly engineTokens: number;
  /** Share of the generated tokens that are not part of a complete answer, 0 to 1. */
  readonly wastedPart: number;
  /** Requests reported to the caller as not run although an engine had started them. */
  readonly falseNotRun: number;
  readonly engineCrashes: number;
}

const OBSERVE_INTERVAL_MS = 250;

const observeEngines = async (cluster: Cluster, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    // Reading the counters of an engine that has crashed fails.
    await Promise.allSettled(cluster.engines.map((engine) => engine.updateCounts()));
    await sleep(OBSERVE_INTERVAL_MS);
  }
};

const hashPrompt = (request: PlannedRequest): number => hashText(`user: ${request.prompt}`);

const countFalseNotRun = (cluster: Cluster, results: readonly RequestResult[]): number => {
  const started = new Set(cluster.engines.flatMap((engine) => [...engine.startedPrompts]));
  return results.filter(
    ({ run, request }) => run === RunState.NotRun && started.has(hashPrompt(request)),
  ).length;
};

const collectResult = async (
  cluster: Cluster,
  policy: DispatchPolicy,
  scenario: Scenario,
  results: readonly RequestResult[],
): Promise<ScenarioResult> => {
  const counts = await Promise.all(cluster.engines.map((engine) => engine.readCounts()));
  const engineTokens = counts.reduce((sum, { tokens }) => sum + tokens, 0);
  const summaries = computeSummaries(scenario.profile.classes, results);
  const goodTokens = summaries.reduce((sum, summary) => sum + summary.goodTokens, 0);
  return {
    policy,
    results,
    summaries,
    engineTokens,
    wastedPart: engineTokens === 0 ? 0 : Math.max(0, 1 - goodTokens / engineTokens),
    falseNotRun: countFalseNotRun(cluster, results),
    engineCrashes: cluster.engines.reduce((sum, engine) => sum + engine.crashes, 0),
  };
};

/**
 * Runs a scenario under one dispatch policy, in a newly started cluster.
 *
 * @param scenario - cluster, load and faults
 * @param policy - the policy of the cluster's dispatchers
 * @returns the results and counters of the run
 */
export const runScenario = async (
  scenario: Scenario,
  policy: DispatchPolicy,
): Promise<ScenarioResult> => {
  scenario.report(`${policy}: starting the processes`);
  const cluster = await startCluster({ ...scenario.cluster, policy });
  const loadEnd = new AbortController();
  try {
    const plan = deriveLoad(scenario.profile);
    scenario.report(`${policy}: sending ${plan.length} requests`);
    const observation = observeEngines(cluster, loadEnd.signal);
    const faultInjection = scenario.injectFaults?.(cluster, loadEnd.signal);
    const results = await runLoad(plan, { addresses: cluster.addresses });
    loadEnd.abort();
    await Promise.all([observation, faultInjection]);
    return await collectResult(cluster, policy, scenario, results);
  } finally {
    loadEnd.abort();
    await cluster.stop();
  }
};
