import { Tier, TIER_RANK } from '@sardinegrade/common';
import { chooseShard, createDispatcher, createRandomSource } from '@sardinegrade/dispatch';
import { buildConfiguredEvent, SimulatedShard, toEngineId } from '@sardinegrade/dispatch/testing';

import { COMPARED_CLASSES } from './buildArrivals.js';
import {
  BASE_INTERVAL_MS,
  DURATION_MS,
  ENGINES,
  DRAIN_MS,
  SLOTS,
  STEP_MS,
  VIEW_INTERVAL_MS,
} from './constants.js';

import type {
  Dispatcher,
  DispatcherTuning,
  RandomSource,
  ShardView,
  DispatchPolicy,
} from '@sardinegrade/dispatch';
import type {
  EngineShape,
  SimulatedRequest,
  SimulatedResult,
} from '@sardinegrade/dispatch/testing';
import type { Arrival } from './types.js';

/** Mean time for which a request of this load holds a slot; shards are compared by estimated waits. */
const MEAN_HOLD_MS = 8_000;

/** The settings of a variant whose requests go through dispatchers. */
export interface DispatchedOptions {
  readonly seed: number;
  readonly policy: DispatchPolicy;
  readonly tuning?: Partial<DispatcherTuning>;
  /** Relative increase of the token interval when all slots of an engine are busy; 1 doubles it. */
  readonly batchingCost: number;
  /** Number of shards that the engines are divided into; 1 if absent. */
  readonly shardCount?: number;
  /** Number of shards that are compared for each request; 1 if absent. */
  readonly comparedShards?: number;
}

interface RunningShard {
  readonly shard: SimulatedShard;
  readonly dispatcher: Dispatcher;
  views: ReadonlyMap<string, ShardView>;
}

/**
 * Builds the engines of a comparison.
 *
 * @param batchingCost - the relative increase of the token interval when all slots are busy
 * @param count - the number of engines
 * @returns slots and speed of each engine
 */
export const buildEngines = (batchingCost: number, count: number): readonly EngineShape[] =>
  Array.from({ length: count }, (_, index) => ({
    id: toEngineId(index),
    slots: SLOTS,
    baseIntervalMs: BASE_INTERVAL_MS,
    batchingCost,
    prefillMsPerToken: 0.2,
  }));

const createShard = (options: DispatchedOptions, index: number, engines: number): RunningShard => {
  const { policy, tuning, seed, batchingCost } = options;
  const random = createRandomSource(seed + index);
  const dispatcher = createDispatcher({
    policy,
    random,
    ...(tuning === undefined ? {} : { tuning }),
  });
  const shard = new SimulatedShard(dispatcher, buildEngines(batchingCost, engines));
  shard.send(buildConfiguredEvent({ engines, slots: SLOTS, classes: COMPARED_CLASSES }));
  const running = { shard, dispatcher };
  return { ...running, views: buildViews(running, String(index)) };
};

/** Counts the asks or grants that take precedence over a request: those of its own tier and higher ones. */
const countAhead = (counts: Readonly<Record<string, number>>, tier: Tier): number => {
  let sum = 0;
  for (const definition of COMPARED_CLASSES) {
    if (TIER_RANK[definition.tier ?? tier] > TIER_RANK[tier]) continue;
    sum += counts[`counter/${String(definition.name)}`] ?? 0;
  }
  return sum;
};

const buildViews = (
  { shard, dispatcher }: Pick<RunningShard, 'shard' | 'dispatcher'>,
  key: string,
): ReadonlyMap<string, ShardView> => {
  const { queuedByClass, grantedByClass = {}, upstreams } = dispatcher.describe();
  const slots = upstreams.length * SLOTS;
  const views = COMPARED_CLASSES.map(({ name, tier = Tier.Free }): [string, ShardView] => [
    String(name),
    {
      key,
      queued: countAhead(queuedByClass, tier),
      freeSlots: slots - countAhead(grantedByClass, tier),
      slots,
      holdMs: MEAN_HOLD_MS,
      updatedAtMs: shard.currentTimeMs,
      isReachable: true,
      networkDelayMs: 0,
    },
  ]);
  return new Map(views);
};

const sendArrival = (
  shards: readonly RunningShard[],
  request: SimulatedRequest,
  options: DispatchedOptions,
  random: RandomSource,
  nowMs: number,
): void => {
  const { className } = request.ask;
  const views = shards.flatMap((running) => running.views.get(className) ?? []);
  const choices = options.comparedShards ?? 1;
  const chosen = chooseShard({ shards: views, prefixBlock: undefined, choices, nowMs }, random);
  const target = shards.find((running) => running.views.get(className)?.key === chosen?.key);
  target?.shard.request(request);
};

/**
 * Runs the common load through dispatchers that grant slots.
 *
 * @param options - policy, tuning and shards
 * @param arrivals - the requests in chronological order
 * @returns the result of each request
 */
export const runDispatched = (
  options: DispatchedOptions,
  arrivals: readonly Arrival[],
): readonly SimulatedResult[] => {
  const { shardCount: count = 1, seed } = options;
  const shards = Array.from({ length: count }, (_, index) =>
    createShard(options, index, ENGINES / count),
  );
  const random = createRandomSource(seed);
  let nextArrival = 0;
  for (let nowMs = 0; nowMs < DURATION_MS + DRAIN_MS; nowMs += STEP_MS) {
    for (const running of shards) running.shard.advance(STEP_MS);
    if (nowMs % VIEW_INTERVAL_MS === 0)
      for (const [index, running] of shards.entries())
        running.views = buildViews(running, String(index));
    for (; (arrivals[nextArrival]?.atMs ?? Infinity) <= nowMs + STEP_MS; nextArrival += 1) {
      const arrival = arrivals[nextArrival];
      if (arrival !== undefined) sendArrival(shards, arrival.request, options, random, nowMs);
    }
  }
  return shards.flatMap(({ shard }) => shard.results);
};
