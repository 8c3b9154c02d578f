import {
  createDispatcher,
  createRandomSource,
  DispatchActionKind,
  ReleaseReason,
} from '@sardinegrade/dispatch';
import {
  buildAsk,
  buildConfiguredEvent,
  toAskEvent,
  toReleaseEvent,
} from '@sardinegrade/dispatch/testing';

import { BENCH_CLASSES, WORKSPACES } from './constants.js';

import type {
  DispatchEvent,
  Dispatcher,
  RandomSource,
  DispatchPolicy,
} from '@sardinegrade/dispatch';

/** The size of one measurement, and the policy measured. */
export interface DecisionSize {
  readonly workers: number;
  readonly queued: number;
  readonly policy: DispatchPolicy;
  /** Number of grants to time. */
  readonly rounds: number;
}

/** The cost of decisions at one size. */
export interface DecisionCost extends DecisionSize {
  /** Mean time to handle a release and the grant that follows from it. */
  readonly grantUs: number;
  readonly grantP99Us: number;
  /** Mean time to handle an ask that has to wait. */
  readonly askUs: number;
}

const SLOTS = 16;
/** Untimed rounds at the start, as a fraction of the timed ones. */
const WARM_UP_SHARE = 0.25;
const NO_DEADLINE_MS = 1e12;
const BLOCKS_PER_PROMPT = 8;

interface LoadState {
  readonly dispatcher: Dispatcher;
  readonly random: RandomSource;
  readonly running: string[];
  asks: number;
  nowMs: number;
}

const buildNextAsk = (load: LoadState): DispatchEvent => {
  load.asks += 1;
  const classIndex = Math.floor(load.random() * BENCH_CLASSES.length);
  const promptIndex = Math.floor(load.random() * 200);
  const ask = buildAsk({
    askId: `ask-${load.asks}`,
    className: String(BENCH_CLASSES[classIndex]?.name),
    workspace: `workspace-${Math.floor(load.random() * WORKSPACES)}`,
    arrivedAtMs: load.nowMs,
    deadlineAtMs: NO_DEADLINE_MS,
    prefixBlocks: Array.from(
      { length: BLOCKS_PER_PROMPT },
      (_, block) => promptIndex * BLOCKS_PER_PROMPT + block,
    ),
  });
  return toAskEvent(ask);
};

const buildNextRelease = (load: LoadState): DispatchEvent => {
  const position = Math.floor(load.random() * load.running.length);
  const last = load.running.pop() ?? '';
  const askId = load.running[position] ?? last;
  if (askId !== last) load.running[position] = last;
  return toReleaseEvent(askId, ReleaseReason.Finished, {
    tokens: 100,
    firstTokenMs: 200,
    tokenIntervalMs: 20,
  });
};

/** Passes an event to the dispatcher, and returns the time taken in microseconds. */
const measureEvent = (load: LoadState, event: DispatchEvent): number => {
  const startedAt = performance.now();
  const actions = load.dispatcher.handle(event, load.nowMs);
  const elapsedUs = (performance.now() - startedAt) * 1_000;
  for (const action of actions)
    if (action.kind === DispatchActionKind.Grant) load.running.push(action.askId);
  return elapsedUs;
};

const createLoad = ({ workers, policy }: DecisionSize, seed: number): LoadState => {
  const random = createRandomSource(seed);
  const dispatcher = createDispatcher({ policy, random });
  dispatcher.handle(
    buildConfiguredEvent({ engines: workers, slots: SLOTS, classes: BENCH_CLASSES }),
    0,
  );
  return { dispatcher, random, running: [], asks: 0, nowMs: 0 };
};

const computeQuantile = (sorted: readonly number[], quantile: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/**
 * Measures the cost of decisions while all slots are busy and the queue stays at its size.
 *
 * @param size - workers, waiting asks, policy and rounds
 * @param seed - the seed of the load
 * @returns the cost of a grant and of an ask
 */
export const measureDecisions = (size: DecisionSize, seed: number): DecisionCost => {
  const load = createLoad(size, seed);
  const initialAsks = size.workers * SLOTS + size.queued;
  for (let count = 0; count < initialAsks; count += 1) measureEvent(load, buildNextAsk(load));
  const warmUp = size.rounds * WARM_UP_SHARE;
  const grantsUs: number[] = [];
  const asksUs: number[] = [];
  for (let round = 0; round < size.rounds + warmUp; round += 1) {
    load.nowMs += 1;
    const grantUs = measureEvent(load, buildNextRelease(load));
    const askUs = measureEvent(load, buildNextAsk(load));
    if (round < warmUp) continue;
    grantsUs.push(grantUs);
    asksUs.push(askUs);
  }
  const sorted = grantsUs.toSorted((left, right) => left - right);
  return {
    ...size,
    grantUs: computeMean(grantsUs),
    grantP99Us: computeQuantile(sorted, 0.99),
    askUs: computeMean(asksUs),
  };
};
