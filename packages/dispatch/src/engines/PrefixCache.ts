import type { CacheEvent } from '../types.js';

const MAX_BLOCKS = 8_192;

/** Cache events may be delayed by this much; an eviction that arrives sooner after a grant may predate the grant. */
const MAX_EVENT_LAG_MS = 5_000;

interface CachedBlock {
  /** When a grant last sent the block to the engine; undefined if the block is known only from a cache event. */
  readonly grantedAtMs: number | undefined;
}

/** Estimates which prefix blocks an engine has cached, from the granted prompts and the engine's cache events. */
export class PrefixCache {
  /** Least recently used first. */
  private readonly blocks = new Map<number, CachedBlock>();
  private lastSequence = -1;

  /** Records the blocks of a granted prompt as cached. */
  recordGrant(blocks: readonly number[], nowMs: number): void {
    for (const block of blocks) this.setBlock(block, { grantedAtMs: nowMs });
  }

  /** Applies a cache event; repeated and out-of-order events are ignored. */
  applyEvent(event: CacheEvent, nowMs: number): void {
    if (event.sequence <= this.lastSequence) return;
    this.lastSequence = event.sequence;
    for (const block of event.evicted) this.removeBlock(block, nowMs);
    for (const block of event.stored) {
      if (!this.blocks.has(block)) this.setBlock(block, { grantedAtMs: undefined });
    }
  }

  /** Removes all blocks and resets the sequence: a restarted engine has an empty cache and a new event sequence. */
  clear(): void {
    this.blocks.clear();
    this.lastSequence = -1;
  }

  /**
   * Counts the leading blocks of a prompt that the engine has probably cached. A block that is known only from a
   * cache event counts half, so that engines that were granted the prefix are preferred.
   *
   * @param blocks - hashes of the prompt's prefix blocks, shortest prefix first
   * @returns the number of blocks, in steps of one half
   */
  countLeadingBlocks(blocks: readonly number[]): number {
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
    if (this.blocks.size <= MAX_BLOCKS) return;
    const oldest = this.blocks.keys().next().value;
    if (oldest !== undefined) this.blocks.delete(oldest);
  }

  private removeBlock(block: number, nowMs: number): void {
    const grantedAtMs = this.blocks.get(block)?.grantedAtMs;
    if (grantedAtMs !== undefined && nowMs - grantedAtMs < MAX_EVENT_LAG_MS) return;
    this.blocks.delete(block);
  }
}
