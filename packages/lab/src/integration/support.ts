import assert from 'node:assert/strict';

import { Tier } from '@sardinegrade/common';

import { CLUSTER_MODEL, getWorkspaceKey, startCluster, waitUntil } from '../harness/index.js';
import { CallerOutcome, runLoad } from '../load/index.js';

import type { TestContext } from 'node:test';
import type { Cluster, ClusterClass, ClusterOptions } from '../harness/index.js';
import type { LoadClass, PlannedRequest, RequestResult } from '../load/index.js';

const WORKSPACE = 'rig-desk';
const REQUEST_TIMEOUT_MS = 60_000;

/** Class of all requests in these tests; its latency targets are loose, since the tests measure no latency. */
const QUERY_CLASS: ClusterClass = {
  name: 'query',
  tier: Tier.Paying,
  firstTokenTargetMs: 5_000,
  tokenIntervalTargetMs: 100,
  deadlineMs: REQUEST_TIMEOUT_MS,
};

const QUERY_LOAD_CLASS: LoadClass = {
  name: QUERY_CLASS.name,
  model: CLUSTER_MODEL,
  isPaying: true,
  ratePerSecond: 0,
  bursts: [],
  keys: [getWorkspaceKey(WORKSPACE)],
  workspaceSkew: 0,
  promptTokens: { median: 1, spread: 0, maximum: 1 },
  answerTokens: { median: 1, spread: 0, maximum: 1 },
  sharedFraction: 0,
  firstTokenTargetMs: REQUEST_TIMEOUT_MS,
  tokenIntervalTargetMs: REQUEST_TIMEOUT_MS,
  timeoutMs: REQUEST_TIMEOUT_MS,
};

/**
 * Starts a cluster that is stopped after the test.
 *
 * @param context - context of the test, on which the stop is registered
 * @param dataCentres - VMs and engines of each data centre
 * @param options - override the defaults of these tests
 * @returns the cluster, ready for requests
 */
export const startTestCluster = async (
  context: TestContext,
  dataCentres: ClusterOptions['dataCentres'],
  options: Partial<ClusterOptions> = {},
): Promise<Cluster> => {
  const cluster = await startCluster({
    dataCentres,
    classes: [QUERY_CLASS],
    workspaces: [WORKSPACE],
    service: { attempts: 5, retry_share: 1 },
    ...options,
  });
  context.after(() => cluster.stop());
  return cluster;
};

/**
 * Builds requests that are all due immediately.
 *
 * @param label - part of each prompt; a label of its own makes prompts and answers unique
 * @param count - number of requests
 * @param answerTokens - length of each answer, in tokens
 * @returns the requests, each with its own prompt
 */
export const buildRequests = (
  label: string,
  count: number,
  answerTokens: number,
): readonly PlannedRequest[] =>
  Array.from({ length: count }, (_, number) => ({
    number,
    atMs: 0,
    loadClass: QUERY_LOAD_CLASS,
    key: getWorkspaceKey(WORKSPACE),
    prompt: `tokens=${answerTokens} ${label}-${number}`,
    answerTokens,
  }));

/**
 * Sends requests at once and waits for all results.
 *
 * @param requests - requests to send
 * @param addresses - caller addresses of the daemons, used round-robin
 * @returns result of each request
 */
export const sendRequests = (
  requests: readonly PlannedRequest[],
  addresses: readonly string[],
): Promise<readonly RequestResult[]> => runLoad(requests, { addresses });

/**
 * Asserts that every request received its own complete answer.
 *
 * @param results - results of the requests
 * @param cluster - cluster whose process logs are part of the failure message
 */
export const assertAllComplete = (results: readonly RequestResult[], cluster: Cluster): void => {
  const incomplete = results
    .filter(({ outcome }) => outcome !== CallerOutcome.Complete)
    .map(({ request, outcome, code, run, tokens }) => ({
      prompt: request.prompt,
      outcome,
      code,
      run,
      tokens,
    }));
  assert.deepEqual(
    incomplete,
    [],
    `incomplete answers; logs of the processes:\n${cluster.group.describe()}`,
  );
};

/**
 * Waits until the engines of a cluster have started the given number of attempts.
 *
 * @param cluster - cluster whose engines are counted
 * @param count - minimum number of attempts, summed over all engines
 */
export const waitForStartedAttempts = (cluster: Cluster, count: number): Promise<void> =>
  waitUntil(`${count} attempts have started`, async () => {
    const counts = await Promise.all(cluster.engines.map((engine) => engine.readCounts()));
    return counts.reduce((sum, { started }) => sum + started, 0) >= count;
  });
