import { Tier } from '@sardinegrade/common';

import { CLUSTER_MODEL, getWorkspaceKey } from '../../harness/index.js';

import type { ClusterClass } from '../../harness/index.js';
import type { LengthDistribution, LoadClass } from '../../load/index.js';

/** The workspaces that all benchmarks use, in descending order of their share of the load. */
export const WORKSPACES: readonly string[] = Array.from(
  { length: 10 },
  (_, index) => `workspace-${index + 1}`,
);

const WORKSPACE_SKEW = 1;
const SHARED_PART = 0.5;

/** A request class of a benchmark: its configuration and the requests that its callers send. */
export interface BenchClass {
  readonly cluster: ClusterClass;
  readonly answerTokens: LengthDistribution;
  readonly promptTokens: LengthDistribution;
  readonly isPaying: boolean;
}

const createLength = (median: number, spread: number): LengthDistribution => ({
  median,
  spread,
  maximum: median * 5,
});

/** Counter queries: short requests of the paying tier with a tight latency target. */
export const QUERY: BenchClass = {
  cluster: {
    name: 'query',
    tier: Tier.Paying,
    minimumShare: 0.3,
    firstTokenTargetMs: 1_200,
    tokenIntervalTargetMs: 78,
    deadlineMs: 30_000,
  },
  answerTokens: createLength(40, 0.5),
  promptTokens: createLength(300, 0.5),
  isPaying: true,
};

/** Reports: long requests of the paying tier with a looser latency target. */
export const REPORT: BenchClass = {
  cluster: {
    name: 'report',
    tier: Tier.Paying,
    priority: 1,
    minimumShare: 0.1,
    firstTokenTargetMs: 5_000,
    tokenIntervalTargetMs: 100,
    deadlineMs: 60_000,
  },
  answerTokens: createLength(150, 0.5),
  promptTokens: createLength(600, 0.5),
  isPaying: true,
};

/** History reconciliation: long requests of the free tier. */
export const HISTORY: BenchClass = {
  cluster: {
    name: 'history',
    tier: Tier.Free,
    minimumShare: 0.1,
    firstTokenTargetMs: 10_000,
    tokenIntervalTargetMs: 500,
    deadlineMs: 20_000,
  },
  answerTokens: createLength(150, 0.6),
  promptTokens: createLength(600, 0.6),
  isPaying: false,
};

const computeMeanLength = ({ median, spread }: LengthDistribution): number =>
  median * Math.exp(spread ** 2 / 2);

/**
 * Creates the load of a class from its demand in tokens.
 *
 * @param benchClass - the request class
 * @param tokensPerSecond - the demand, in answer tokens per second; the mean answer length turns it
 *   into a request rate
 * @param overrides - properties to replace, such as bursts
 * @returns the load of the class
 */
export const createLoadClass = (
  benchClass: BenchClass,
  tokensPerSecond: number,
  overrides: Partial<LoadClass> = {},
): LoadClass => ({
  name: benchClass.cluster.name,
  model: CLUSTER_MODEL,
  isPaying: benchClass.isPaying,
  ratePerSecond: tokensPerSecond / computeMeanLength(benchClass.answerTokens),
  bursts: [],
  keys: WORKSPACES.map(getWorkspaceKey),
  workspaceSkew: WORKSPACE_SKEW,
  promptTokens: benchClass.promptTokens,
  answerTokens: benchClass.answerTokens,
  sharedFraction: SHARED_PART,
  firstTokenTargetMs: benchClass.cluster.firstTokenTargetMs,
  tokenIntervalTargetMs: benchClass.cluster.tokenIntervalTargetMs,
  timeoutMs: benchClass.cluster.deadlineMs,
  ...overrides,
});
