import { setTimeout as sleep } from 'node:timers/promises';

import { RunState } from '@sardinegrade/common';

import { startCluster } from '../../harness/index.js';
import { computeSummaries, deriveLoad, runLoad } from '../../load/index.js';
import { hashText } from '../../standins/index.js';

import type { DispatchPolicy } from '@sardinegrade/dispatch';
import type { Cluster, ClusterOptions } from '../../harness/index.js';
import type { ClassSummary, LoadProfile, PlannedRequest, RequestResult } from '../../load/index.js';

/** What is to be run against one policy. */
export interface Scenario {
  readonly cluster: ClusterOptions;
  readonly profile: LoadProfile;
  /** Brings faults about while the load runs; it ends when the signal aborts. */
  readonly disturb?: (cluster: Cluster, signal: AbortSignal) => Promise<void>;
  /** Prints a line of progress. */
  readonly report: (line: string) => void;
}

/** What came of a scenario. */
export interface ScenarioResult {
  readonly policy: DispatchPolicy;
  readonly results: readonly RequestResult[];
  readonly summaries: readonly ClassSummary[];
  /** Tokens that the engines made. */
  readonly engineTokens: number;
  /** Tokens made that are in no whole answer, as a part of all. */
  readonly wastedPart: number;
  /** Requests told that they were not run although an engine had begun them. */
  readonly falseNotRun: number;
  readonly engineCrashes: number;
}

const OBSERVE_INTERVAL_MS = 250;

const observeEngines = async (cluster: Cluster, signal: AbortSignal): Promise<void> => {
  while (!signal.aborted) {
    // An engine that is crashing cannot be read.
    await Promise.allSettled(cluster.engines.map((engine) => engine.observe()));
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
 * Runs a scenario against one policy, with processes of its own.
 *
 * @param scenario - cluster, load and faults
 * @param policy - the policy of its dispatchers
 * @returns what came of it
 */
export const runScenario = async (
  scenario: Scenario,
  policy: DispatchPolicy,
): Promise<ScenarioResult> => {
  scenario.report(`${policy}: starting the processes`);
  const cluster = await startCluster({ ...scenario.cluster, policy });
  const end = new AbortController();
  try {
    const plan = deriveLoad(scenario.profile);
    scenario.report(`${policy}: sending ${plan.length} requests`);
    const observed = observeEngines(cluster, end.signal);
    const disturbed = scenario.disturb?.(cluster, end.signal);
    const results = await runLoad(plan, { addresses: cluster.addresses });
    end.abort();
    await Promise.all([observed, disturbed]);
    return await collectResult(cluster, policy, scenario, results);
  } finally {
    end.abort();
    await cluster.stop();
  }
};
