import type { CapacityNeeds, DemandEstimate, EngineDemand, EngineProfile } from './types.js';

/** How much of an engine's slots and of the latency target may be used. */
interface Headroom {
  readonly slotShare: number;
  readonly targetShare: number;
}

/**
 * For the load that is expected: half of the target is left to the network, to uneven placement and to the age of load
 * messages, and some slots are left because each VM sees the others' requests 0.15 to 0.3 s late.
 */
const PLANNED: Headroom = { slotShare: 0.85, targetShare: 0.5 };

/**
 * For a burst, or after a loss of workers, until new ones have booted: just within the target. A twentieth of the slots is
 * left, since requests are not spread evenly over engines.
 */
const EXCEPTIONAL: Headroom = { slotShare: 0.95, targetShare: 1 };

/** Size of the burst that the workers in force have to carry until new ones have booted, relative to the peak. */
const BURST_FACTOR = 1.5;

/**
 * Bounds of the share of time in which an engine prefills. Above the upper bound the wait for prefill grows without bound at
 * the least unevenness. Below the lower bound more engines hardly shorten the wait.
 */
const MIN_BUSY_SHARE = 0.5;
const MAX_BUSY_SHARE = 0.8;

/** Upper bound of any need: a wrong number in a load message or in the configuration cannot keep the event loop busy. */
const MAX_ENGINES = 2_000;

/**
 * Computes the demand in engines that are fully used.
 *
 * @param demand - the demand
 * @param engine - what one engine can do
 * @returns the number of engines, not rounded
 */
export const computeDemandEngines = (demand: EngineDemand, engine: EngineProfile): number =>
  Math.max(demand.requests / Math.max(1, engine.slots), demand.busyEngines);

/**
 * Computes the number of engines at which the first event arrives within a share of the target. A prompt waits for
 * the prefill of those ahead: with busy share b and mean prefill r the first event takes about r / (1 - b), so b may be at
 * most 1 - r / target. If more prompt tokens are pending than can be prefilled within the target, engines are added until
 * they can.
 *
 * Load pattern: long prompts with a tight target, whose wait grows steeply with the busy share of the engines while most
 * of their slots are still free.
 */
const computeNeededEngines = (
  demand: EngineDemand,
  { slots, prefillTokensPerMs, targetMs }: EngineProfile,
  { slotShare, targetShare }: Headroom,
): number => {
  const waitMs = targetMs * targetShare;
  const pendingMs = demand.pendingTokens / prefillTokensPerMs;
  const prefillMs = demand.busyEngines === 0 ? 0 : pendingMs / demand.busyEngines;
  const busyShare = Math.min(MAX_BUSY_SHARE, Math.max(MIN_BUSY_SHARE, 1 - prefillMs / waitMs));
  const engines = Math.max(
    demand.requests / (slots * slotShare),
    demand.busyEngines / busyShare,
    pendingMs / waitMs,
  );
  return Math.min(MAX_ENGINES, Math.ceil(engines));
};

/** A larger number of the same requests: each engine's share, and so the prefill ahead of a prompt, stays the same. */
const applyFactor = (demand: EngineDemand, factor: number): EngineDemand => ({
  requests: demand.requests * factor,
  busyEngines: demand.busyEngines * factor,
  pendingTokens: demand.pendingTokens * factor,
});

/**
 * Computes how many workers a plan has to keep:
 *
 * - in total, enough for the worst second within half of the target, for a burst of 1.5 times that within the target, and for
 *   the shared prompt parts in use;
 * - after the loss of the largest spot group, enough for the worst second within the target;
 * - of ordinary workers, enough for the mean load within the target, since all spot groups may be lost one after the other.
 *
 * @param demand - demand of the last seconds
 * @param engine - what one engine can do, and what callers expect
 * @returns the needs
 */
export const computeNeeds = (
  { peak, mean }: DemandEstimate,
  engine: EngineProfile,
): CapacityNeeds => ({
  total: Math.max(
    computeNeededEngines(peak, engine, PLANNED),
    computeNeededEngines(applyFactor(peak, BURST_FACTOR), engine, EXCEPTIONAL),
    Math.min(MAX_ENGINES, engine.workingSetEngines ?? 0),
  ),
  afterLoss: computeNeededEngines(peak, engine, EXCEPTIONAL),
  ordinary: computeNeededEngines(mean, engine, EXCEPTIONAL),
});
