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
 * @param options - policy and random source
 * @returns a dispatcher that grants nothing until it is configured
 */
export const createDispatcher = (options: DispatcherOptions): Dispatcher =>
  FACTORIES[options.policy](options);
