import { ResultCode, Tier } from '@sardinegrade/common';

import { SpreadPolicy } from './enums.js';

import type { RandomSource } from '../types.js';
import type { KnownEngine, LoneDecision, LoneRequest } from './types.js';

/** Part of an engine's slots that a tier may fill: the rest is left to the tiers above, whom nobody can let in. */
const FILL_SHARE: Readonly<Record<Tier, number>> = {
  [Tier.Premium]: 1,
  [Tier.Paying]: 1,
  [Tier.Trial]: 0.75,
  [Tier.Free]: 0.5,
};

const RETRY_AFTER_MS = 1_000;

const computeLoad = (engine: KnownEngine): number => engine.reportedLoad + engine.ownSinceReport;

const hasRoomFor = (engine: KnownEngine, request: LoneRequest): boolean =>
  computeLoad(engine) < Math.max(1, Math.floor(engine.slots * FILL_SHARE[request.tier]));

const isOpen = (engine: KnownEngine, request: LoneRequest): boolean =>
  !engine.isLeaving && !engine.isLost && !request.excludedUpstreams.includes(engine.upstream);

const pickLessLoaded = (engines: readonly KnownEngine[]): KnownEngine | undefined => {
  let best: KnownEngine | undefined;
  for (const engine of engines) {
    const load = computeLoad(engine) / engine.slots;
    if (best === undefined || load < computeLoad(best) / best.slots) best = engine;
  }
  return best;
};

const pickTwo = (engines: readonly KnownEngine[], random: RandomSource): readonly KnownEngine[] => {
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
    pickLessLoaded(engines.length > 2 ? pickTwo(engines, random) : engines),
  [SpreadPolicy.LeastReported]: pickLessLoaded,
};

/**
 * Places a request from what one daemon knows by itself. Lower tiers leave room, since nobody can preempt them.
 *
 * @param request - the request
 * @param engines - all engines of the pool that it can reach
 * @param random - the random source
 * @returns an engine, or a refusal as not run
 */
export const decideAlone = (
  request: LoneRequest,
  engines: readonly KnownEngine[],
  random: RandomSource,
): LoneDecision => {
  if (request.isQuarantined) return { code: ResultCode.Quarantined, retryAfterMs: undefined };
  const open = engines.filter((engine) => isOpen(engine, request));
  if (open.length === 0) return { code: ResultCode.NoUpstream, retryAfterMs: RETRY_AFTER_MS };
  const candidates = open.filter((engine) => hasRoomFor(engine, request));
  const picked = PICKERS[request.spread](candidates, random);
  if (picked === undefined) return { code: ResultCode.Overloaded, retryAfterMs: RETRY_AFTER_MS };
  return { upstream: picked.upstream };
};
