import { ResultCode, Tier } from '@sardinegrade/common';

import { SpreadPolicy } from './enums.js';

import type { RandomSource } from '../types.js';
import type { KnownEngine, LocalDecision, LocalRequest } from './types.js';

/**
 * Maximum share of an engine's slots that a tier may use. The rest is reserved for higher tiers, since requests cannot
 * be preempted without a dispatcher.
 */
const MAX_FILL_SHARE: Readonly<Record<Tier, number>> = {
  [Tier.Premium]: 1,
  [Tier.Paying]: 1,
  [Tier.Trial]: 0.75,
  [Tier.Free]: 0.5,
};

const RETRY_AFTER_MS = 1_000;

const computeLoad = (engine: KnownEngine): number => engine.reportedLoad + engine.ownSinceReport;

const hasCapacityFor = (engine: KnownEngine, request: LocalRequest): boolean =>
  computeLoad(engine) < Math.max(1, Math.floor(engine.slots * MAX_FILL_SHARE[request.tier]));

const isEligible = (engine: KnownEngine, request: LocalRequest): boolean =>
  !engine.isLeaving && !engine.isLost && !request.excludedUpstreams.includes(engine.upstream);

const pickLeastLoaded = (engines: readonly KnownEngine[]): KnownEngine | undefined => {
  let best: KnownEngine | undefined;
  for (const engine of engines) {
    const load = computeLoad(engine) / engine.slots;
    if (best === undefined || load < computeLoad(best) / best.slots) best = engine;
  }
  return best;
};

const pickTwoAtRandom = (
  engines: readonly KnownEngine[],
  random: RandomSource,
): readonly KnownEngine[] => {
  const first = Math.floor(random() * engines.length);
  const second = (first + 1 + Math.floor(random() * (engines.length - 1))) % engines.length;
  return [first, second].flatMap((position) => engines[position] ?? []);
};

const PICKERS: Readonly<
  Record<
    SpreadPolicy,
    (engines: readonly KnownEngine[], random: RandomSource) => KnownEngine | undefined
  >
> = {
  [SpreadPolicy.TwoChoices]: (engines, random) =>
    pickLeastLoaded(engines.length > 2 ? pickTwoAtRandom(engines, random) : engines),
  [SpreadPolicy.LeastReported]: pickLeastLoaded,
};

/**
 * Selects an engine for a request using only the state that one daemon has. Lower tiers leave slots free for higher
 * ones, since requests cannot be preempted without a dispatcher.
 *
 * @param request - tier, excluded upstreams and spread policy of the request
 * @param engines - all engines of the pool that the daemon can reach
 * @param random - returns numbers of at least 0 and below 1
 * @returns the selected engine, or the reason of the refusal; a refused request has not run
 */
export const decideLocally = (
  request: LocalRequest,
  engines: readonly KnownEngine[],
  random: RandomSource,
): LocalDecision => {
  if (request.isQuarantined) return { code: ResultCode.Quarantined, retryAfterMs: undefined };
  const eligible = engines.filter((engine) => isEligible(engine, request));
  if (eligible.length === 0) return { code: ResultCode.NoUpstream, retryAfterMs: RETRY_AFTER_MS };
  const candidates = eligible.filter((engine) => hasCapacityFor(engine, request));
  const picked = PICKERS[request.spread](candidates, random);
  if (picked === undefined) return { code: ResultCode.Overloaded, retryAfterMs: RETRY_AFTER_MS };
  return { upstream: picked.upstream };
};
