import { DispatchPolicy } from '@sardinegrade/dispatch';

import { readProcessorMs, readResidentBytes, startCluster } from '../../harness/index.js';
import {
  CallerOutcome,
  computePercentiles,
  deriveLoad,
  openCallerConnections,
  runLoad,
} from '../../load/index.js';
import { requireAtLeast, requireAtMost } from '../runner/index.js';
import { buildEngines, createLoadClass, QUERY, WORKSPACES } from '../support/index.js';

import type { Cluster } from '../../harness/index.js';
import type { LoadClass, Percentiles, PlannedRequest, RequestResult } from '../../load/index.js';
import type { Bench, BenchTable } from '../runner/index.js';

/** Requests sent before the measured ones, so that the JIT has optimised the code of both paths. */
const WARM_UP_REQUESTS = 800;
const LATENCY_REQUESTS = 400;
const TOTAL_REQUESTS = WARM_UP_REQUESTS + LATENCY_REQUESTS;
const STREAM_DURATION_MS = 15_000;
const SAMPLE_INTERVAL_MS = 500;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Engines for many concurrent streams, each with a token every few milliseconds. */
const ENGINES = 3;
const SPEED = {
  slots: 100,
  tokenIntervalMs: 5,
  batchSlope: 0,
  prefillTokensPerSecond: 10_000_000,
};
const ANSWER_TOKENS = 1_000;

const createClass = (tokens: number, ratePerSecond: number): LoadClass =>
  createLoadClass(QUERY, 0, {
    ratePerSecond,
    answerTokens: { median: tokens, spread: 0, maximum: tokens },
    promptTokens: { median: 100, spread: 0, maximum: 100 },
    timeoutMs: 120_000,
  });

const openCluster = (): Promise<Cluster> =>
  startCluster({
    policy: DispatchPolicy.Tiered,
    dataCentres: [{ name: 'dc-a', vms: [{}], engines: buildEngines(ENGINES, SPEED) }],
    classes: [QUERY.cluster],
    workspaces: WORKSPACES,
  });

/** Sends requests sequentially, each one first directly to an engine and then through the daemon. */
const measureLatency = async (cluster: Cluster, seed: number) => {
  const profile = { seed, durationMs: 60_000, classes: [createClass(1, TOTAL_REQUESTS / 20)] };
  const plan = deriveLoad(profile).slice(0, TOTAL_REQUESTS);
  const engine = cluster.engines[0]?.address ?? '';
  const dispatcher = openCallerConnections();
  const straight: number[] = [];
  const relayed: number[] = [];
  for (const request of plan) {
    const immediateRequest = { ...request, atMs: 0, number: 0 };
    const [direct] = await runLoad([immediateRequest], { dispatcher, addresses: [engine] });
    const [routed] = await runLoad([immediateRequest], {
      dispatcher,
      addresses: cluster.addresses,
    });
    straight.push(direct?.firstTokenMs ?? Infinity);
    relayed.push(routed?.firstTokenMs ?? Infinity);
  }
  await dispatcher.destroy();
  return {
    straight: computePercentiles(straight.slice(WARM_UP_REQUESTS)),
    relayed: computePercentiles(relayed.slice(WARM_UP_REQUESTS)),
  };
};

interface StreamFigures {
  readonly tokens: number;
  readonly tokensPerSecond: number;
  readonly tokensPerCoreSecond: number;
  readonly whole: number;
  readonly requests: number;
  readonly residentMegabytes: readonly number[];
}

const deriveStreams = (seed: number): readonly PlannedRequest[] => {
  const tokensPerSecond = (ENGINES * SPEED.slots * 1_000) / SPEED.tokenIntervalMs;
  const ratePerSecond = (tokensPerSecond / ANSWER_TOKENS) * 0.85;
  const classes = [createClass(ANSWER_TOKENS, ratePerSecond)];
  return deriveLoad({ seed, durationMs: STREAM_DURATION_MS, classes });
};

const countTokens = (results: readonly RequestResult[]): number =>
  results.reduce((sum, { tokens }) => sum + tokens, 0);

/** Relays many concurrent streams and samples the daemon's processor time and memory. */
const measureStreams = async (cluster: Cluster, seed: number): Promise<StreamFigures> => {
  const { pid } = cluster.entries[0]?.process ?? { pid: 0 };
  const plan = deriveStreams(seed);
  const residentMegabytes: number[] = [];
  const sampler = setInterval(
    () => residentMegabytes.push(Math.round(readResidentBytes(pid) / BYTES_PER_MEGABYTE)),
    SAMPLE_INTERVAL_MS,
  );
  const processorBeforeMs = readProcessorMs(pid);
  const startedAtMs = performance.now();
  const results = await runLoad(plan, { addresses: cluster.addresses });
  const elapsedMs = performance.now() - startedAtMs;
  const processorMs = readProcessorMs(pid) - processorBeforeMs;
  clearInterval(sampler);
  const tokens = countTokens(results);
  return {
    tokens,
    tokensPerSecond: (tokens * 1_000) / elapsedMs,
    tokensPerCoreSecond: (tokens * 1_000) / processorMs,
    whole: results.filter(({ outcome }) => outcome === CallerOutcome.Complete).length,
    requests: results.length,
    residentMegabytes,
  };
};

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/** Computes the ratio of mean memory in the last third of a run to that in the middle third. */
const computeGrowth = (samples: readonly number[]): number => {
  const third = Math.floor(samples.length / 3);
  return computeMean(samples.slice(2 * third)) / computeMean(samples.slice(third, 2 * third));
};

const buildTables = (
  straight: Percentiles,
  relayed: Percentiles,
  streams: StreamFigures,
): readonly BenchTable[] => [
  {
    title: `First token, ${LATENCY_REQUESTS} requests one after the other, ms`,
    columns: ['way', 'p50', 'p95', 'p99'],
    rows: [
      ['straight to the engine', straight.p50, straight.p95, straight.p99],
      ['through the daemon', relayed.p50, relayed.p95, relayed.p99],
    ],
  },
  {
    title: 'Streams through one daemon',
    columns: ['requests', 'whole', 'tokens', 'tokens/s', 'tokens/s and core', 'resident MB'],
    rows: [
      [
        streams.requests,
        streams.whole,
        streams.tokens,
        Math.round(streams.tokensPerSecond),
        Math.round(streams.tokensPerCoreSecond),
        streams.residentMegabytes.at(-1) ?? 0,
      ],
    ],
  },
];

/** Measures the latency, processor time and memory that the hop through an entry daemon costs. */
export const RELAY_BENCH: Bench = {
  name: 'relay',
  description: 'first-token latency and processor time that the hop adds',
  run: async ({ seed, report }) => {
    const cluster = await openCluster();
    try {
      report('first-token latency');
      const { straight, relayed } = await measureLatency(cluster, seed);
      report('streams');
      const streams = await measureStreams(cluster, seed);
      const addedP95Ms = relayed.p95 - straight.p95;
      const growth = computeGrowth(streams.residentMegabytes);
      return {
        tables: buildTables(straight, relayed, streams),
        targets: [
          requireAtMost('added first-token latency p95, ms', addedP95Ms, 2),
          requireAtLeast('tokens a second and core', streams.tokensPerCoreSecond, 50_000),
          requireAtMost('growth of memory, last third against the middle', growth, 1.1),
          requireAtLeast('whole answers', streams.whole / streams.requests, 1),
        ],
        figures: { straight, relayed, streams },
      };
    } finally {
      await cluster.stop();
    }
  },
};
