import type { PartId, PromptPart } from './types.js';

/** Maximum number of parts, the least recently used of which are removed first: a client may list many small ones. */
export const MAX_CACHED_PARTS = 2_048;

/** Estimates the contents of an engine's prefix cache as an LRU cache of prompt parts, least recently used first. */
export class PrefixCacheModel {
  readonly #tokensByPart = new Map<PartId, number>();
  #tokens = 0;

  /** @param capacityTokens - capacity of the engine's cache, in tokens */
  constructor(private readonly capacityTokens: number) {}

  /** Records that the engine processes a prompt with these parts. */
  record(parts: readonly PromptPart[]): void {
    for (const part of parts) {
      this.#evict(part.id);
      this.#tokensByPart.set(part.id, part.tokens);
      this.#tokens += part.tokens;
    }
    for (const id of this.#tokensByPart.keys()) {
      const isWithin = this.#tokensByPart.size <= MAX_CACHED_PARTS;
      if (isWithin && this.#tokens <= this.capacityTokens) return;
      this.#evict(id);
    }
  }

  /**
   * Counts the prompt tokens that need no prefill: those of the leading parts that are in the cache.
   *
   * @param parts - parts of the prompt, in order
   * @returns the number of tokens
   */
  countCachedTokens(parts: readonly PromptPart[]): number {
    let cachedTokens = 0;
    for (const part of parts) {
      if (!this.#tokensByPart.has(part.id)) return cachedTokens;
      cachedTokens += part.tokens;
    }
    return cachedTokens;
  }

  /** @returns all cached parts, least recently used first */
  list(): readonly PromptPart[] {
    return [...this.#tokensByPart].map(([id, tokens]) => ({ id, tokens }));
  }

  /** Removes all parts, for example after a restart of the engine. */
  clear(): void {
    this.#tokensByPart.clear();
    this.#tokens = 0;
  }

  #evict(id: PartId): void {
    this.#tokens -= this.#tokensByPart.get(id) ?? 0;
    this.#tokensByPart.delete(id);
  }
}
