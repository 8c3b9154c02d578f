import type { PartId, PromptPart } from './types.js';

/** Parts that an engine probably holds, least recently used first, within the engine's memory. */
export class PrefixCacheModel {
  readonly #tokensByPart = new Map<PartId, number>();
  #tokens = 0;

  /** @param capacityTokens - tokens that the engine holds */
  constructor(private readonly capacityTokens: number) {}

  /** Records that the engine reads a prompt. */
  record(parts: readonly PromptPart[]): void {
    for (const part of parts) {
      this.#evict(part.id);
      this.#tokensByPart.set(part.id, part.tokens);
      this.#tokens += part.tokens;
    }
    for (const id of this.#tokensByPart.keys()) {
      if (this.#tokens <= this.capacityTokens) return;
      this.#evict(id);
    }
  }

  /**
   * Counts the tokens that need not be read again: those of the leading parts that are held.
   *
   * @param parts - the prompt, in order
   * @returns tokens
   */
  countCachedTokens(parts: readonly PromptPart[]): number {
    let cachedTokens = 0;
    for (const part of parts) {
      if (!this.#tokensByPart.has(part.id)) return cachedTokens;
      cachedTokens += part.tokens;
    }
    return cachedTokens;
  }

  /** @returns all parts that are held, least recently used first */
  list(): readonly PromptPart[] {
    return [...this.#tokensByPart].map(([id, tokens]) => ({ id, tokens }));
  }

  /** Forgets everything, as after a restart of the engine. */
  clear(): void {
    this.#tokensByPart.clear();
    this.#tokens = 0;
  }

  #evict(id: PartId): void {
    this.#tokens -= this.#tokensByPart.get(id) ?? 0;
    this.#tokensByPart.delete(id);
  }
}
