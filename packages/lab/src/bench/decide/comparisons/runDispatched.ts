import { Tier, TIER_RANK } from '@sardinegrade/common';
import { chooseShard, createDispatcher, createRandomSource } from '@sardinegrade/dispatch';
import { buildConfiguredEvent, ModelShard, toEngineId } from '@sardinegrade/dispatch/testing';

import { COMPARED_CLASSES } from './buildArrivals.js';
import {
  BASE_INTERVAL_MS,
  DURATION_MS,
  ENGINES,
  SETTLE_MS,
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
import type { EngineShape, ModelRequest, ModelResult } from '@sardinegrade/dispatch/testing';
import type { Arrival } from './types.js';

/** Mean time that a request holds a slot here, for the estimate of waits. */
const HOLD_MS = 8_000;

/** How a variant with dispatchers is made. */
export interface DispatchedShape {
  readonly seed: number;
  readonly policy: DispatchPolicy;
  readonly tuning?: Partial<DispatcherTuning>;
  /** By which part an engine with full slots is slower than one with a single stream. */
  readonly batchingCost: number;
  /** Shards that the engines are split into, and how many are compared for each request. */
  readonly shards?: number;
  readonly choices?: number;
}

interface RunningShard {
  readonly shard: ModelShard;
  readonly dispatcher: Dispatcher;
  views: ReadonlyMap<string, ShardView>;
}

/**
 * Describes the comparison's engines.
 *
 * @param batchingCost - by which part an engine with full slots is slower
 * @param count - how many
 * @returns their shapes
 */
export const buildEngines = (batchingCost: number, count: number): readonly EngineShape[] =>
  Array.from({ length: count }, (_, index) => ({
    id: toEngineId(index),
    slots: SLOTS,
    baseIntervalMs: BASE_INTERVAL_MS,
    batchingCost,
    prefillMsPerToken: 0.2,
  }));

const createShard = (shape: DispatchedShape, index: number, engines: number): RunningShard => {
  const { policy, tuning, seed, batchingCost } = shape;
  const random = createRandomSource(seed + index);
  const dispatcher = createDispatcher({
    policy,
    random,
    ...(tuning === undefined ? {} : { tuning }),
  });
  const shard = new ModelShard(dispatcher, buildEngines(batchingCost, engines));
  shard.send(buildConfiguredEvent({ engines, slots: SLOTS, classes: COMPARED_CLASSES }));
  const running = { shard, dispatcher };
  return { ...running, views: buildViews(running, String(index)) };
};

/** What goes before a request: asks and places of its own tier and those above. */
const countBefore = (counts: Readonly<Record<string, number>>, tier: Tier): number => {
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
      queued: countBefore(queuedByClass, tier),
      freeSlots: slots - countBefore(grantedByClass, tier),
      slots,
      holdMs: HOLD_MS,
      updatedAtMs: shard.currentTimeMs,
      isReachable: true,
      networkDelayMs: 0,
    },
  ]);
  return new Map(views);
};

const sendArrival = (
  shards: readonly RunningShard[],
  request: ModelRequest,
  shape: DispatchedShape,
  random: RandomSource,
  nowMs: number,
): void => {
  const { className } = request.ask;
  const views = shards.flatMap((running) => running.views.get(className) ?? []);
  const choices = shape.choices ?? 1;
  const chosen = chooseShard({ shards: views, prefixBlock: undefined, choices, nowMs }, random);
  const target = shards.find((running) => running.views.get(className)?.key === chosen?.key);
  target?.shard.request(request);
};

/**
 * Runs the common load through dispatchers that grant.
 *
 * @param shape - policy, tuning and shards
 * @param arrivals - the load
 * @returns how each request ended
 */
export const runDispatched = (
  shape: DispatchedShape,
  arrivals: readonly Arrival[],
): readonly ModelResult[] => {
  const { shards: count = 1, seed } = shape;
  const shards = Array.from({ length: count }, (_, index) =>
    createShard(shape, index, ENGINES / count),
  );
  const random = createRandomSource(seed);
  let next = 0;
  for (let nowMs = 0; nowMs < DURATION_MS + SETTLE_MS; nowMs += STEP_MS) {
    for (const running of shards) running.shard.advance(STEP_MS);
    if (nowMs % VIEW_INTERVAL_MS === 0)
      for (const [index, running] of shards.entries())
        running.views = buildViews(running, String(index));
    for (; (arrivals[next]?.atMs ?? Infinity) <= nowMs + STEP_MS; next += 1) {
      const arrival = arrivals[next];
      if (arrival !== undefined) sendArrival(shards, arrival.request, shape, random, nowMs);
    }
  }
  return shards.flatMap(({ shard }) => shard.results);
};
