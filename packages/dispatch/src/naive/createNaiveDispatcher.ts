import { createSlotDispatcher } from './createSlotDispatcher.js';

import type { Dispatcher } from '../types.js';

/**
 * Creates the baseline dispatcher of comparisons.
 *
 * @returns a dispatcher that serves in order of arrival and takes engines in turn
 */
export const createNaiveDispatcher = (): Dispatcher => createSlotDispatcher(() => 0);
