import { ServiceState } from './enums.js';

/** Severity of each state; a higher number is worse. */
const STATE_RANK: Readonly<Record<ServiceState, number>> = {
  [ServiceState.Serving]: 0,
  [ServiceState.Degraded]: 1,
  [ServiceState.Down]: 2,
};

/**
 * Picks the worse of two states.
 *
 * @param a - state of one service
 * @param b - state of another service, such as a dependency
 * @returns the state of higher severity
 */
export const pickWorseState = (a: ServiceState, b: ServiceState): ServiceState =>
  STATE_RANK[a] >= STATE_RANK[b] ? a : b;
