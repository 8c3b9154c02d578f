import { TIER_RANK } from '@sardinegrade/common';

import type { Configuration } from '@sardinegrade/common';

/**
 * Ranks the models that services need by the best tier that uses them.
 *
 * @param configuration - the active configuration
 * @returns for each model the rank of its best tier; models with a lower rank are loaded first
 */
export const rankModels = (configuration: Configuration): ReadonlyMap<string, number> => {
  const ranks = new Map<string, number>();
  for (const { model, classes } of configuration.services.values()) {
    if (model === undefined) continue;
    for (const { tier } of classes.values()) {
      ranks.set(model, Math.min(ranks.get(model) ?? Infinity, TIER_RANK[tier]));
    }
  }
  return ranks;
};
