import { estimateGapMs } from '../pace/measureAnswer.js';
import { DELAY_PER_RUN_MS, PREFILL_TOKENS_PER_MS } from './constants.js';
import { countSharedTokens } from './countSharedTokens.js';
import { PromptLane } from './shouldWait.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { WorkerPace } from '../pace/index.js';
import type { EngineRanking } from './EngineRanking.js';
import type { PartId, PromptShape } from './types.js';

/** State of one engine when a request is placed. */
export interface EngineView {
  readonly id: UpstreamId;
  /** Prompt tokens that it has yet to prefill. */
  readonly backlogTokens: number;
  /** Tokens of the prompt that are probably in its prefix cache. */
  readonly cachedTokens: number;
  /** Number of requests that it runs. */
  readonly runs: number;
  /** Whether it is used only if no other engine is left: it failed, or its data centre is unreachable. */
  readonly isAvoided: boolean;
  /** Learned pace; undefined if nothing is known. */
  readonly pace?: WorkerPace;
}

/** The chosen engine and its score. */
export interface EngineChoice {
  readonly id: UpstreamId;
  /** Expected time to the first event plus penalties, in milliseconds. */
  readonly expectedMs: number;
}

/**
 * Cost of a prompt token that has to be prefilled, relative to a token of backlog. Repeated prefill takes engine time
 * from all requests, while waiting delays only this one. docs/design/load.md compares the values 1 to 8.
 */
const PREFILL_WEIGHT = 8;

/**
 * Penalty of an engine that is not a home of an uncached part, in milliseconds. It exceeds any backlog that is worth
 * waiting for.
 */
const NON_HOME_PENALTY_MS = 2_000;

/** Penalty for each rank in the rendezvous order, in milliseconds. It only decides between nearly equal engines. */
const RANK_PENALTY_MS = 1.5;

/** Penalty of an unreserved engine for a Tight prompt, in milliseconds: long prompts of other VMs may delay it. */
const UNRESERVED_PENALTY_MS = 40;

/** Penalty of a reserved engine for bulk prompts, in milliseconds: they accept this much delay before they use one. */
const RESERVED_PENALTY_MS = 200;

/** Penalty of an engine that is avoided, in milliseconds. It exceeds any backlog that is worth waiting for. */
const AVOIDED_PENALTY_MS = 60_000;

/**
 * Cost of each millisecond by which the expected gap between events exceeds the target of the route. Twice the excess
 * outweighs the shorter prefill of a prompt of 1,000 tokens, but no prompt part that has to be read again.
 */
const GAP_WEIGHT = 2;

/** Maximum cost of long gaps, in milliseconds: late gaps are no reason to make the first event late, too. */
const MAX_GAP_PENALTY_MS = 300;

/**
 * Penalty of an engine that runs more requests than its limit, in milliseconds. It exceeds any penalty of rank or lane
 * that is worth keeping; if all engines are above their limits it changes nothing.
 */
const LIMIT_PENALTY_MS = 1_000;

/**
 * Finds the part that determines the home of a prompt: the last shared one, or the only part of a prompt that has no
 * shared one.
 */
const findSharedPart = (prompt: PromptShape): PartId | undefined =>
  (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id;

/** Inputs of a placement besides the prompt and the engines. */
export interface PlacementContext {
  /** Rendezvous ranking of the engines. */
  readonly ranking: EngineRanking;
  /** Lane of the prompt. */
  readonly lane: PromptLane;
  /** Whether load reports of other VMs are available. */
  readonly hasPeerReports: boolean;
  /**
   * Number of homes of a part: a part that no engine has cached goes to one of the first engines in its rendezvous
   * order. If load reports are delayed and all engines were eligible, all VMs would choose the same idle engine; with
   * few homes the choice differs from part to part.
   */
  readonly homeCount: number;
  /** Target of the route for the gap between two events, in milliseconds; 0 or undefined if there is none. */
  readonly eventGapMs?: number;
}

const computeLanePenaltyMs = (context: PlacementContext, isReserved: boolean): number => {
  if (context.lane === PromptLane.Tight) return isReserved ? 0 : UNRESERVED_PENALTY_MS;
  return isReserved ? RESERVED_PENALTY_MS : 0;
};

const computeRankPenaltyMs = (rank: number, homeCount: number): number =>
  rank * RANK_PENALTY_MS + (rank >= homeCount ? NON_HOME_PENALTY_MS : 0);

/** Cost of the learned pace of an engine, in milliseconds; 0 if nothing is known. */
const computePacePenaltyMs = ({ pace, runs }: EngineView, aimMs: number): number => {
  if (pace === undefined) return 0;
  const excessMs = aimMs === 0 ? 0 : Math.max(0, estimateGapMs(pace, runs + 1) - aimMs);
  const gapPenaltyMs = Math.min(MAX_GAP_PENALTY_MS, excessMs * GAP_WEIGHT);
  return gapPenaltyMs + (runs >= pace.limit ? LIMIT_PENALTY_MS : 0);
};

/**
 * Chooses the engine with the shortest expected time to the first event: its backlog plus the prefill of the tokens of
 * this prompt that it has not cached.
 *
 * Load pattern: long prompts with shared parts on unequally loaded engines, sent by many VMs each of which sees only a
 * fraction of the traffic. All VMs derive the same home engine from the rendezvous order of the last shared part,
 * without communication. A VM without reports of other VMs assumes that the home has cached the part, because the
 * others send it there, too. A VM with reports knows which engines have cached it, and sends a new part to the home
 * with the smallest backlog. Times are those of an engine of the learned speed, and an engine whose streams are expected to
 * miss the route's target for gaps is penalised, so that fast engines get more and slow ones fewer. Without a learned pace
 * all engines count as equal.
 *
 * @param prompt - the request's prompt
 * @param engines - the engines that may run the request
 * @param context - lane, ranking and available reports
 * @returns the choice, or undefined if there is no engine
 */
export const chooseEngine = (
  prompt: PromptShape,
  engines: readonly EngineView[],
  context: PlacementContext,
): EngineChoice | undefined => {
  const { lane, hasPeerReports, homeCount, ranking, eventGapMs = 0 } = context;
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
    const speed = engine.pace?.speed ?? 1;
    const expectedMs =
      (engine.backlogTokens + (prompt.promptTokens - cachedTokens) * PREFILL_WEIGHT) /
        (PREFILL_TOKENS_PER_MS * speed) +
      (engine.runs * DELAY_PER_RUN_MS) / speed +
      computeRankPenaltyMs(rank, cachedTokens > 0 ? Infinity : homeCount) +
      (reserved.size > 0 ? computeLanePenaltyMs(context, reserved.has(engine.id)) : 0) +
      computePacePenaltyMs(engine, eventGapMs) +
      (engine.isAvoided ? AVOIDED_PENALTY_MS : 0);
    if (best === undefined || expectedMs < best.expectedMs) best = { id: engine.id, expectedMs };
  }
  return best;
};
