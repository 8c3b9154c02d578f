import { rankByRendezvous } from '@sardinegrade/common';

import { PromptLane } from './shouldWait.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { PartId } from './types.js';

/**
 * Share of the engines that is reserved for prompts with a tight latency target. Prefill of such a prompt takes 20 ms,
 * and bursts at the two smaller sites need less than a tenth of the engines; the remainder keeps queueing delays short.
 */
const RESERVED_SHARE = 0.2;

/** Number of engines below which none is reserved. */
const MIN_ENGINES_TO_RESERVE = 4;

/** Maximum number of cached rankings: a site uses several hundred different shared parts, which recur all the time. */
const MAX_CACHED_RANKINGS = 600;

const listReservedEngines = (ids: readonly UpstreamId[]): ReadonlySet<UpstreamId> => {
  if (ids.length < MIN_ENGINES_TO_RESERVE) return new Set();
  const count = Math.ceil(ids.length * RESERVED_SHARE);
  return new Set(rankByRendezvous('reserved for tight prompts', ids).slice(0, count));
};

/**
 * Ranks a set of engines for prompts by rendezvous hashing. VMs that know the same engines compute the same ranking
 * without communication.
 *
 * Load pattern: many long prompts wait, and each is placed again on every state change. Hashing all engines for each
 * of them used most of the CPU time, so rankings are cached.
 */
export class EngineRanking {
  /** Computed on first use, since workers of plain services are never ranked. */
  #reserved: ReadonlySet<UpstreamId> | undefined;
  readonly #ranks = new Map<string, ReadonlyMap<UpstreamId, number>>();

  /** @param ids - ids of all engines of a service */
  constructor(private readonly ids: readonly UpstreamId[]) {}

  /** Engines that are reserved for prompts with a tight latency target. */
  get reserved(): ReadonlySet<UpstreamId> {
    this.#reserved ??= listReservedEngines(this.ids);
    return this.#reserved;
  }

  /**
   * Ranks the engines of a lane for a prompt part.
   *
   * @param part - the part that determines the home of the prompt
   * @param lane - lane of the prompt; the Tight lane consists of the reserved engines, Bulk of all others
   * @returns the rank of each engine of the lane; 0 is the home of the part
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
