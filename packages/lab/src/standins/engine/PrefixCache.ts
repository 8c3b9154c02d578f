/** Blocks that entered and left a cache in one step. */
export interface CacheChange {
  readonly stored: readonly number[];
  readonly evicted: readonly number[];
}

/** Prefix blocks in limited memory; the least recently used are evicted. */
export class PrefixCache {
  private readonly capacity: number;
  /** In the order of use, oldest first. */
  private readonly blocks = new Set<number>();

  constructor(capacity: number) {
    this.capacity = capacity;
  }

  /** Part of the memory in use, between 0 and 1. */
  get use(): number {
    return this.capacity === 0 ? 0 : this.blocks.size / this.capacity;
  }

  /** Counts the blocks at the head of a prompt that are cached. */
  countCached(blocks: readonly number[]): number {
    let count = 0;
    for (const block of blocks) {
      if (!this.blocks.has(block)) break;
      count += 1;
    }
    return count;
  }

  /** Stores the blocks of a prompt and marks them as used. */
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
