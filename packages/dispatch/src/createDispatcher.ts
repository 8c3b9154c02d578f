import { DispatchPolicy } from './enums.js';
import { createNaiveDispatcher } from './naive/index.js';
import { createTieredDispatcher } from './tiered/index.js';

import type { Dispatcher, DispatcherOptions } from './types.js';

const FACTORIES: Readonly<Record<DispatchPolicy, (options: DispatcherOptions) => Dispatcher>> = {
  [DispatchPolicy.Tiered]: createTieredDispatcher,
  [DispatchPolicy.Naive]: () => createNaiveDispatcher(),
};

/**
 * Creates the dispatcher of one shard.
 *
 * @param options - policy, random source and tuning
 * @returns a dispatcher that grants no requests until it is configured
 */
export const createDispatcher = (options: DispatcherOptions): Dispatcher =>
  FACTORIES[options.policy](options);
