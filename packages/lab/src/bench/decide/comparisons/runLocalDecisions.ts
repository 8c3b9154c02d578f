import { createRandomSource, decideLocally } from '@sardinegrade/dispatch';
import { SimulatedEngine, SimulatedOutcome } from '@sardinegrade/dispatch/testing';

import { COMPARED_CLASSES } from './buildArrivals.js';
import {
  DAEMONS,
  DURATION_MS,
  ENGINES,
  REPORT_LAG_MS,
  DRAIN_MS,
  STEP_MS,
  VIEW_INTERVAL_MS,
} from './constants.js';
import { buildEngines } from './runDispatched.js';

import type { Tier } from '@sardinegrade/common';
import type { KnownEngine, RandomSource, SpreadPolicy } from '@sardinegrade/dispatch';
import type {
  SimulatedRequest,
  SimulatedResult,
  SimulatedStream,
} from '@sardinegrade/dispatch/testing';
import type { Arrival } from './types.js';

interface LocalRun {
  readonly engines: readonly SimulatedEngine[];
  readonly random: RandomSource;
  readonly spread: SpreadPolicy;
  readonly open: Map<string, SimulatedRequest>;
  readonly results: SimulatedResult[];
  /** Loads of all engines at each report, the oldest report first. */
  reports: { readonly atMs: number; readonly loads: readonly number[] }[];
  /** For each daemon, the requests it started after the latest report it received: time and engine. */
  readonly starts: { readonly atMs: number; readonly engine: number }[][];
}

const TIERS: ReadonlyMap<string, Tier> = new Map(
  COMPARED_CLASSES.flatMap(({ name, tier }) =>
    name === undefined || tier === undefined ? [] : [[String(name), tier] as const],
  ),
);

const recordResult = (
  run: LocalRun,
  request: SimulatedRequest,
  outcome: SimulatedOutcome,
  nowMs: number,
  stream?: SimulatedStream,
): void => {
  run.results.push({
    request,
    outcome,
    atMs: nowMs,
    firstTokenAtMs: stream?.firstTokenAtMs,
    meanIntervalMs: undefined,
    wastedTokens: outcome === SimulatedOutcome.Finished ? 0 : Math.floor(stream?.tokensMade ?? 0),
  });
};

const listKnownEngines = (run: LocalRun, daemon: number, nowMs: number): readonly KnownEngine[] => {
  const report = run.reports.findLast(({ atMs }) => atMs <= nowMs - REPORT_LAG_MS);
  const own = (run.starts[daemon] ?? []).filter(({ atMs }) => atMs > (report?.atMs ?? -1));
  run.starts[daemon] = own;
  return run.engines.map(({ shape }, index) => ({
    upstream: shape.id,
    slots: shape.slots,
    reportedLoad: report?.loads[index] ?? 0,
    ownSinceReport: own.filter(({ engine }) => engine === index).length,
    isLeaving: false,
    isLost: false,
  }));
};

const startRequest = (run: LocalRun, request: SimulatedRequest, nowMs: number): void => {
  const daemon = Math.floor(run.random() * DAEMONS);
  const { ask } = request;
  const tier = TIERS.get(ask.className);
  if (tier === undefined) return;
  const localRequest = { tier, excludedUpstreams: [], isQuarantined: false, spread: run.spread };
  const decision = decideLocally(localRequest, listKnownEngines(run, daemon, nowMs), run.random);
  if (!('upstream' in decision)) {
    recordResult(run, request, SimulatedOutcome.Refused, nowMs);
    return;
  }
  const index = run.engines.findIndex(({ shape }) => shape.id === decision.upstream);
  run.starts[daemon]?.push({ atMs: nowMs, engine: index });
  run.open.set(ask.askId, request);
  run.engines[index]?.startAnswer({
    askId: ask.askId,
    isPoison: false,
    startedAtMs: nowMs,
    promptTokens: ask.promptTokens,
    tokensLeft: request.outputTokens,
    tokensMade: 0,
    firstTokenAtMs: undefined,
    isPaused: false,
    decodeMs: 0,
  });
};

const finishStreams = (run: LocalRun, engine: SimulatedEngine, nowMs: number): void => {
  for (const stream of [...engine.streams.values()]) {
    const request = run.open.get(stream.askId);
    if (request === undefined) continue;
    const isLate = nowMs >= request.ask.deadlineAtMs;
    if (stream.tokensLeft > 0 && !isLate) continue;
    engine.cancel(stream.askId);
    run.open.delete(stream.askId);
    const outcome =
      stream.tokensLeft > 0 ? SimulatedOutcome.Interrupted : SimulatedOutcome.Finished;
    recordResult(run, request, outcome, nowMs, stream);
  }
};

const recordReport = (run: LocalRun, nowMs: number): void => {
  const recentReports = run.reports.filter(({ atMs }) => atMs > nowMs - 2 * REPORT_LAG_MS);
  run.reports = [
    ...recentReports,
    { atMs: nowMs, loads: run.engines.map(({ streams }) => streams.size) },
  ];
};

/**
 * Runs the common load with daemons that each decide locally on outdated load reports; an engine
 * queues the requests that exceed its slots.
 *
 * @param options - the seed, how daemons spread their requests, and the slowdown of full engines
 * @param arrivals - the requests in chronological order
 * @returns the result of each request
 */
export const runLocalDecisions = (
  options: { readonly seed: number; readonly spread: SpreadPolicy; readonly batchingCost: number },
  arrivals: readonly Arrival[],
): readonly SimulatedResult[] => {
  const run: LocalRun = {
    engines: buildEngines(options.batchingCost, ENGINES).map(
      (engine) => new SimulatedEngine(engine),
    ),
    random: createRandomSource(options.seed),
    spread: options.spread,
    open: new Map(),
    results: [],
    reports: [],
    starts: Array.from({ length: DAEMONS }, () => []),
  };
  let nextArrival = 0;
  for (let nowMs = STEP_MS; nowMs < DURATION_MS + DRAIN_MS; nowMs += STEP_MS) {
    for (const engine of run.engines) {
      engine.advance(STEP_MS, nowMs);
      finishStreams(run, engine, nowMs);
    }
    if (nowMs % VIEW_INTERVAL_MS === 0) recordReport(run, nowMs);
    for (; (arrivals[nextArrival]?.atMs ?? Infinity) <= nowMs; nextArrival += 1) {
      const arrival = arrivals[nextArrival];
      if (arrival !== undefined) startRequest(run, arrival.request, nowMs);
    }
  }
  return run.results;
};
