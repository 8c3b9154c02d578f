/** Blocks that one update added to and evicted from a cache. */
export interface CacheChange {
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

/** LRU cache of prefix blocks. */
export class PrefixCache {
  private readonly capacity: number;
  /** Least recently used block first. */
  private readonly blocks = new Set<number>();

  constructor(capacity: number) {
    this.capacity = capacity;
  }

  /** Fraction of the capacity in use, between 0 and 1. */
  get use(): number {
    return this.capacity === 0 ? 0 : this.blocks.size / this.capacity;
  }

  /** Counts the leading blocks of a prompt that are cached. */
  countCached(blocks: readonly number[]): number {
    let count = 0;
    for (const block of blocks) {
      if (!this.blocks.has(block)) break;
      count += 1;
    }
    return count;
  }

  /** Adds the blocks of a prompt and marks them as most recently used. */
  add(blocks: readonly number[]): CacheChange {
    const stored: number[] = [];
    for (const block of blocks) {
      if (!this.blocks.delete(block)) stored.push(block);
      this.blocks.add(block);
    }
    return { stored, evicted: this.removeOldest() };
  }

  private removeOldest(): readonly number[] {
    const evicted: number[] = [];
    for (const block of this.blocks) {
      if (this.blocks.size <= this.capacity) break;
      this.blocks.delete(block);
      evicted.push(block);
    }
    return evicted;
  }
}
