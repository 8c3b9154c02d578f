import { TIER_RANK } from '@sardinegrade/common';

import { DispatchPolicy } from './enums.js';
import { createNaiveDispatcher, createSlotDispatcher } from './naive/index.js';

import type { AskRank } from './naive/index.js';
import type { Dispatcher, DispatcherOptions } from './types.js';

const PRIORITIES_PER_TIER = 1_000;

const rankByTier: AskRank = (ask, configuration) => {
  const definition = configuration.services.get(ask.service)?.classes.get(ask.className);
  if (definition === undefined) return Number.MAX_SAFE_INTEGER;
  return TIER_RANK[definition.tier] * PRIORITIES_PER_TIER + definition.priority;
};

const FACTORIES: Readonly<Record<DispatchPolicy, (options: DispatcherOptions) => Dispatcher>> = {
  [DispatchPolicy.Tiered]: () => createSlotDispatcher(rankByTier),
  [DispatchPolicy.Naive]: () => createNaiveDispatcher(),
};

/**
 * Creates the dispatcher of one shard.
 *
 * @param options - policy and random source
 * @returns a dispatcher that grants nothing until it is configured
 */
export const createDispatcher = (options: DispatcherOptions): Dispatcher =>
  FACTORIES[options.policy](options);
