import { Tier } from './enums.js';

/** The rank of each tier; a lower number is served first. */
export const TIER_RANK: Readonly<Record<Tier, number>> = {
  [Tier.Premium]: 0,
  [Tier.Paying]: 1,
  [Tier.Trial]: 2,
  [Tier.Free]: 3,
};

/** Tiers of paying callers, whose requests must never be refused in favour of a lower tier. */
export const PAYING_TIERS: ReadonlySet<Tier> = new Set([Tier.Premium, Tier.Paying]);
