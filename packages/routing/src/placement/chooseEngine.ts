import { countSharedTokens } from './countSharedTokens.js';
import { PREFILL_TOKENS_PER_MS } from './EngineTracker.js';
import { PromptLane } from './shouldWait.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { EngineRanking } from './EngineRanking.js';
import type { PartId, PromptShape } from './types.js';

/** What is known of one engine when a request is placed. */
export interface EngineView {
  readonly id: UpstreamId;
  /** Tokens that it has to read first. */
  readonly backlogTokens: number;
  /** Tokens of the prompt that it holds already. */
  readonly cachedTokens: number;
  /** Requests that it runs. */
  readonly runs: number;
  /** Set aside after failures: used only where no other is left. */
  readonly isAvoided: boolean;
}

/** An engine and what speaks for it. */
export interface EngineChoice {
  readonly id: UpstreamId;
  readonly expectedMs: number;
}

/**
 * How much each running request delays the first event, in milliseconds: the sheets say that a step takes
 * 0.09 ms more for each, and prompts are read between steps.
 */
const DELAY_PER_RUN_MS = 2;

/**
 * Weight of reading a prompt against waiting for it: what is read again takes the engine's time from others,
 * while a wait costs only this request. The rounds of docs/design/load.md compare 1 to 8.
 */
const PREFILL_WEIGHT = 8;

/** Penalty of an engine outside the first choices of a part that none holds, in milliseconds: larger than any backlog worth waiting for. */
const NON_HOME_PENALTY_MS = 2_000;

/** Penalty of each place further down the rendezvous order, in milliseconds: only breaks near ties. */
const RANK_PENALTY_MS = 1.5;

/** What a prompt with a tight target risks beside long prompts of other VMs, in milliseconds. */
const UNRESERVED_PENALTY_MS = 40;

/** Wait that long prompts bear before they take a reserved engine, in milliseconds. */
const RESERVED_PENALTY_MS = 200;

/** Penalty of an engine that is set aside, in milliseconds: larger than any backlog worth waiting for. */
const AVOIDED_PENALTY_MS = 60_000;

/** The part by which a prompt is placed: the last one that other requests share. */
const findSharedPart = (prompt: PromptShape): PartId | undefined =>
  (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id;

/** What a placement depends on besides prompt and engines. */
export interface PlacementContext {
  /** The engines' orders for prompts. */
  readonly ranking: EngineRanking;
  /** Whose engines suit the prompt. */
  readonly lane: PromptLane;
  /** Whether other VMs tell what they send where. */
  readonly hasPeerReports: boolean;
  /**
   * Engines among which a part that none holds is placed: the first in its rendezvous order. Where VMs hear of each
   * other late, with all engines they would all choose the one that seemed free; a few differ from part to part.
   */
  readonly homeCount: number;
}

const computeLanePenaltyMs = (context: PlacementContext, isReserved: boolean): number => {
  if (context.lane === PromptLane.Tight) return isReserved ? 0 : UNRESERVED_PENALTY_MS;
  return isReserved ? RESERVED_PENALTY_MS : 0;
};

const computeRankPenaltyMs = (rank: number, homeCount: number): number =>
  rank * RANK_PENALTY_MS + (rank >= homeCount ? NON_HOME_PENALTY_MS : 0);

/**
 * Chooses the engine with the least expected time to the first event: what it has to read before,
 * and what it would have to read of this prompt.
 *
 * Load pattern: long shared prompts over unequal engines, seen by many VMs that each know a share. The
 * rendezvous order of the last shared part makes all VMs agree on a home without talking. A VM that hears
 * nothing of the others takes the home to hold the part, since they send there, too; one that hears of
 * them knows where it is held, and sends a new part where the least waits.
 *
 * @param prompt - the request's prompt
 * @param engines - the engines that may run it
 * @param context - what is known of the request and of other VMs
 * @returns the choice, or undefined where there is no engine
 */
export const chooseEngine = (
  prompt: PromptShape,
  engines: readonly EngineView[],
  context: PlacementContext,
): EngineChoice | undefined => {
  const { lane, hasPeerReports, homeCount, ranking } = context;
  const { reserved } = ranking;
  const part = findSharedPart(prompt);
  const ranks = ranking.rank(part, lane);
  let best: EngineChoice | undefined;
  for (const engine of engines) {
    const rank = ranks.get(engine.id) ?? ranks.size;
    const isAssumedHome = !hasPeerReports && rank === 0 && part !== undefined;
    const assumedTokens = isAssumedHome ? countSharedTokens(prompt) : 0;
    const cachedTokens = Math.min(
      prompt.promptTokens,
      Math.max(engine.cachedTokens, assumedTokens),
    );
    const expectedMs =
      (engine.backlogTokens + (prompt.promptTokens - cachedTokens) * PREFILL_WEIGHT) /
        PREFILL_TOKENS_PER_MS +
      engine.runs * DELAY_PER_RUN_MS +
      computeRankPenaltyMs(rank, cachedTokens > 0 ? Infinity : homeCount) +
      (reserved.size > 0 ? computeLanePenaltyMs(context, reserved.has(engine.id)) : 0) +
      (engine.isAvoided ? AVOIDED_PENALTY_MS : 0);
    if (best === undefined || expectedMs < best.expectedMs) best = { id: engine.id, expectedMs };
  }
  return best;
};
