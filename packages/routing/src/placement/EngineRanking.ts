import { rankByRendezvous } from '@sardinegrade/common';

import { PromptLane } from './shouldWait.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { PartId } from './types.js';

/**
 * Part of the engines that is kept for prompts with a tight target. Their reading takes 20 ms each, and
 * both sites' bursts of them need less than a tenth of the engines; the rest keeps the wait short.
 */
const RESERVED_SHARE = 0.2;

/** Fewest engines of which some are reserved. */
const MIN_ENGINES_TO_RESERVE = 4;

/** Orders that are remembered: the shared parts in use at a site, some hundred, come again and again. */
const MAX_CACHED_RANKINGS = 600;

const listReservedEngines = (ids: readonly UpstreamId[]): ReadonlySet<UpstreamId> => {
  if (ids.length < MIN_ENGINES_TO_RESERVE) return new Set();
  const count = Math.ceil(ids.length * RESERVED_SHARE);
  return new Set(rankByRendezvous('reserved for tight prompts', ids).slice(0, count));
};

/**
 * Orders a set of engines for prompts; all VMs that know the same engines agree without talking.
 *
 * Load pattern: many long prompts wait, and each is placed anew whenever something changes. Hashing all engines for
 * each of them took most of the processor time, so orders are remembered.
 */
export class EngineRanking {
  /** Computed at the first use: workers of plain services are never ordered. */
  #reserved: ReadonlySet<UpstreamId> | undefined;
  readonly #ranks = new Map<string, ReadonlyMap<UpstreamId, number>>();

  /** @param ids - the engines */
  constructor(private readonly ids: readonly UpstreamId[]) {}

  /** Engines that are kept for prompts with a tight target. */
  get reserved(): ReadonlySet<UpstreamId> {
    this.#reserved ??= listReservedEngines(this.ids);
    return this.#reserved;
  }

  /**
   * Ranks the engines of a lane for a part.
   *
   * @param part - the last part of the prompt that others share
   * @param lane - whose engines suit it
   * @returns the rank of each engine of the lane, 0 first
   */
  rank(part: PartId | undefined, lane: PromptLane): ReadonlyMap<UpstreamId, number> {
    const key = `${lane} ${part ?? ''}`;
    const cached = this.#ranks.get(key);
    if (cached !== undefined) return cached;
    const eligible =
      this.reserved.size === 0
        ? this.ids
        : this.ids.filter((id) => this.reserved.has(id) === (lane === PromptLane.Tight));
    const ordered = rankByRendezvous(part ?? '', eligible);
    const ranks = new Map(ordered.map((id, rank) => [id, rank]));
    const [oldest] = this.#ranks.keys();
    if (oldest !== undefined && this.#ranks.size >= MAX_CACHED_RANKINGS) this.#ranks.delete(oldest);
    this.#ranks.set(key, ranks);
    return ranks;
  }
}
