import type { CacheEvent } from '../types.js';

const BLOCK_LIMIT = 8_192;

/** Events may be this late, so that an eviction does not undo a younger grant. */
const EVENT_LAG_MS = 5_000;

interface CachedBlock {
  /** When a grant last brought the block to the engine; undefined where only an event told of it. */
  readonly grantedAtMs: number | undefined;
}

/** The prefix blocks that an engine probably holds: learned from grants, adjusted by its events. */
export class PrefixCache {
  /** In order of last use. */
  private readonly blocks = new Map<number, CachedBlock>();
  private lastSequence = -1;

  /** Records that a granted prompt brings its blocks to the engine. */
  recordGrant(blocks: readonly number[], nowMs: number): void {
    for (const block of blocks) this.setBlock(block, { grantedAtMs: nowMs });
  }

  /** Takes a cache event into account; repeated and overtaken events are dropped. */
  applyEvent(event: CacheEvent, nowMs: number): void {
    if (event.sequence <= this.lastSequence) return;
    this.lastSequence = event.sequence;
    for (const block of event.evicted) this.removeBlock(block, nowMs);
    for (const block of event.stored) {
      if (!this.blocks.has(block)) this.setBlock(block, { grantedAtMs: undefined });
    }
  }

  /** Forgets everything, as after a restart of the engine, whose events count anew. */
  clear(): void {
    this.blocks.clear();
    this.lastSequence = -1;
  }

  /**
   * Counts the leading blocks of a prompt that the engine probably holds. A block that only an event told of
   * counts half, so that a grant's own trace goes first.
   *
   * @param blocks - hashes of the prompt's prefix blocks, shortest prefix first
   * @returns the number of blocks
   */
  countLeading(blocks: readonly number[]): number {
    let count = 0;
    for (const block of blocks) {
      const cached = this.blocks.get(block);
      if (cached === undefined) break;
      count += cached.grantedAtMs === undefined ? 0.5 : 1;
    }
    return count;
  }

  private setBlock(block: number, cached: CachedBlock): void {
    this.blocks.delete(block);
    this.blocks.set(block, cached);
    if (this.blocks.size <= BLOCK_LIMIT) return;
    const oldest = this.blocks.keys().next().value;
    if (oldest !== undefined) this.blocks.delete(oldest);
  }

  private removeBlock(block: number, nowMs: number): void {
    const grantedAtMs = this.blocks.get(block)?.grantedAtMs;
    if (grantedAtMs !== undefined && nowMs - grantedAtMs < EVENT_LAG_MS) return;
    this.blocks.delete(block);
  }
}
