import type { ServiceName } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';

import type { ServiceShare } from './types.js';

/**
 * Chooses the service of a request at random, weighted by the shares of its route.
 *
 * @param shares - the route's services with their weights
 * @param random - returns numbers in [0, 1)
 * @returns the service, or undefined if no share has a positive weight
 */
export const chooseService = (
  shares: readonly ServiceShare[],
  random: RandomSource,
): ServiceName | undefined => {
  const total = shares.reduce((sum, share) => sum + share.weight, 0);
  if (total <= 0) return undefined;
  let point = random() * total;
  for (const share of shares) {
    point -= share.weight;
    if (share.weight > 0 && point < 0) return share.service;
  }
  return shares.findLast((share) => share.weight > 0)?.service;
};
