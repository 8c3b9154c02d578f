import assert from 'node:assert/strict';

import { Tier } from '@sardinegrade/common';

import { CLUSTER_MODEL, getWorkspaceKey, startCluster, waitUntil } from '../harness/index.js';
import { CallerOutcome, runLoad } from '../load/index.js';

import type { TestContext } from 'node:test';
import type { Cluster, ClusterClass, ClusterOptions } from '../harness/index.js';
import type { LoadClass, PlannedRequest, RequestResult } from '../load/index.js';

const WORKSPACE = 'rig-desk';
const PATIENCE_MS = 60_000;

/** The class of all requests in these tests; its targets are wide, since nothing here is timed. */
const QUERY: ClusterClass = {
  name: 'query',
  tier: Tier.Paying,
  firstTokenTargetMs: 5_000,
  tokenIntervalTargetMs: 100,
  deadlineMs: PATIENCE_MS,
};

const QUERY_LOAD: LoadClass = {
  name: QUERY.name,
  model: CLUSTER_MODEL,
  isPaying: true,
  ratePerSecond: 0,
  bursts: [],
  keys: [getWorkspaceKey(WORKSPACE)],
  workspaceSkew: 0,
  promptTokens: { median: 1, spread: 0, maximum: 1 },
  answerTokens: { median: 1, spread: 0, maximum: 1 },
  sharedPart: 0,
  firstTokenTargetMs: PATIENCE_MS,
  tokenIntervalTargetMs: PATIENCE_MS,
  patienceMs: PATIENCE_MS,
};

/**
 * Starts a cluster that ends with its test. The daemons' logs are shown where the test fails.
 *
 * @param context - the test
 * @param dataCentres - what it consists of
 * @param options - further options
 * @returns the cluster, ready
 */
export const openCluster = async (
  context: TestContext,
  dataCentres: ClusterOptions['dataCentres'],
  options: Partial<ClusterOptions> = {},
): Promise<Cluster> => {
  const cluster = await startCluster({
    dataCentres,
    classes: [QUERY],
    workspaces: [WORKSPACE],
    service: { attempts: 5, retry_share: 1 },
    ...options,
  });
  context.after(() => cluster.stop());
  return cluster;
};

/**
 * Creates requests that are sent at once.
 *
 * @param label - makes their prompts, and so their answers, unlike all others
 * @param count - how many
 * @param answerTokens - the length of each answer
 * @returns the requests
 */
export const createRequests = (
  label: string,
  count: number,
  answerTokens: number,
): readonly PlannedRequest[] =>
  Array.from({ length: count }, (_, number) => ({
    number,
    atMs: 0,
    loadClass: QUERY_LOAD,
    key: getWorkspaceKey(WORKSPACE),
    prompt: `tokens=${answerTokens} ${label}-${number}`,
    answerTokens,
  }));

/**
 * Sends requests at once.
 *
 * @param requests - the requests
 * @param addresses - the daemons that take them in turn
 * @returns what became of them
 */
export const sendAll = (
  requests: readonly PlannedRequest[],
  addresses: readonly string[],
): Promise<readonly RequestResult[]> => runLoad(requests, { addresses });

/**
 * Checks that every request got its own whole answer.
 *
 * @param results - what became of the requests
 * @param cluster - whose logs are shown otherwise
 */
export const assertAllWhole = (results: readonly RequestResult[], cluster: Cluster): void => {
  const others = results
    .filter(({ outcome }) => outcome !== CallerOutcome.Whole)
    .map(({ request, outcome, code, run, tokens }) => ({
      prompt: request.prompt,
      outcome,
      code,
      run,
      tokens,
    }));
  assert.deepEqual(others, [], `not whole; the processes said:\n${cluster.group.describe()}`);
};

/**
 * Waits until the engines of a cluster have begun a number of attempts in all.
 *
 * @param cluster - the cluster
 * @param count - the number
 */
export const waitStarted = (cluster: Cluster, count: number): Promise<void> =>
  waitUntil(`${count} attempts have begun`, async () => {
    const counts = await Promise.all(cluster.engines.map((engine) => engine.readCounts()));
    return counts.reduce((sum, { started }) => sum + started, 0) >= count;
  });
