import {
  PING_INTERVAL_MS,
  RETRANSMIT_FACTOR,
  SUSPICION_FACTOR,
  SUSPICION_MINIMUM_MS,
} from './constants.js';

import type { MembershipState } from './types.js';

const computeLogarithm = (state: MembershipState): number =>
  Math.ceil(Math.log10(state.records.size + 2));

/**
 * @param state - the membership
 * @returns how many messages carry one update
 */
export const computeSends = (state: MembershipState): number =>
  RETRANSMIT_FACTOR * computeLogarithm(state);

/**
 * @param state - the membership
 * @returns how long a suspect has to refute
 */
export const computeSuspicionMs = (state: MembershipState): number =>
  Math.max(SUSPICION_MINIMUM_MS, SUSPICION_FACTOR * computeLogarithm(state) * PING_INTERVAL_MS);
