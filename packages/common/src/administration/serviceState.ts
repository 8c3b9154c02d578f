import { ServiceState } from './enums.js';

const STATE_RANK: Readonly<Record<ServiceState, number>> = {
  [ServiceState.Serving]: 0,
  [ServiceState.Degraded]: 1,
  [ServiceState.Down]: 2,
};

/**
 * Picks the worse of two states.
 *
 * @param a - one state
 * @param b - the other
 * @returns the state that serves less
 */
export const pickWorseState = (a: ServiceState, b: ServiceState): ServiceState =>
  STATE_RANK[a] >= STATE_RANK[b] ? a : b;
