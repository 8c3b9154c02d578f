import { rankByRendezvous } from '@sardinegrade/common';

import { READING_TOKENS_PER_MS } from './EngineAccount.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { PartId, PromptShape } from './types.js';

/** What is known of one engine when a request is placed. */
export interface EngineView {
  readonly id: UpstreamId;
  /** Tokens that it has to read first. */
  readonly backlogTokens: number;
  /** Tokens of the prompt that it holds already. */
  readonly heldTokens: number;
  /** Requests that it runs. */
  readonly runs: number;
  /** Set aside after failures: used only where no other is left. */
  readonly isAside: boolean;
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

/** Penalty of each place further down the rendezvous order, in milliseconds: only breaks near ties. */
const RANK_PENALTY_MS = 1.5;

/** Penalty of an engine that is set aside, in milliseconds: larger than any backlog worth waiting for. */
const ASIDE_PENALTY_MS = 60_000;

/** The part by which a prompt is placed: the last one that other requests share. */
const findSharedPart = (prompt: PromptShape): PartId | undefined =>
  (prompt.parts.at(-2) ?? prompt.parts.at(-1))?.id;

const countSharedTokens = (prompt: PromptShape): number =>
  prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);

/**
 * Chooses the engine with the least expected time to the first event: what it has to read before,
 * and what it would have to read of this prompt.
 *
 * Load pattern: long shared prompts over unequal engines, seen by many VMs that each know a share. The
 * rendezvous order of the last shared part makes all VMs agree on a home without talking; the home is
 * taken to hold the part, since the others send there, too.
 *
 * @param prompt - the request's prompt
 * @param engines - the engines that may run it
 * @returns the choice, or undefined where there is no engine
 */
export const chooseEngine = (
  prompt: PromptShape,
  engines: readonly EngineView[],
): EngineChoice | undefined => {
  const part = findSharedPart(prompt);
  const order = rankByRendezvous(
    part ?? '',
    engines.map((engine) => engine.id),
  );
  const ranks = new Map(order.map((id, rank) => [id, rank]));
  const home = order[0];
  let best: EngineChoice | undefined;
  for (const engine of engines) {
    const assumed = engine.id === home && part !== undefined ? countSharedTokens(prompt) : 0;
    const held = Math.min(prompt.promptTokens, Math.max(engine.heldTokens, assumed));
    const expectedMs =
      (engine.backlogTokens + prompt.promptTokens - held) / READING_TOKENS_PER_MS +
      engine.runs * DELAY_PER_RUN_MS +
      (ranks.get(engine.id) ?? 0) * RANK_PENALTY_MS +
      (engine.isAside ? ASIDE_PENALTY_MS : 0);
    if (best === undefined || expectedMs < best.expectedMs) best = { id: engine.id, expectedMs };
  }
  return best;
};
