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
 * @param state - current membership state
 * @returns number of messages that carry one update; grows with the logarithm of the member count
 */
export const computeTransmitLimit = (state: MembershipState): number =>
  RETRANSMIT_FACTOR * computeLogarithm(state);

/**
 * @param state - current membership state
 * @returns time in milliseconds that a suspect has to refute the suspicion before it is declared dead
 */
export const computeSuspicionMs = (state: MembershipState): number =>
  Math.max(SUSPICION_MINIMUM_MS, SUSPICION_FACTOR * computeLogarithm(state) * PING_INTERVAL_MS);
