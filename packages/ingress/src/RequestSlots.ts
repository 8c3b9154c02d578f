import type { Owner } from './HeldBytes.js';

/** Share of the requests beyond which an owner that has more than half of them gets no more. */
const SHARED_PART = 0.75;
const MAX_OWNER_PART = 0.5;

/** Memory of a head up to which it does not count: those of most requests, in bytes. */
const SPARED_HEAD_BYTES = 16 * 1_024;

/** Limits of the requests without a whole answer. */
export interface RequestLimits {
  /** Maximum number of requests. */
  readonly requests: number;
  /** Maximum memory of the large ones among their heads, in bytes. */
  readonly headBytes: number;
}

/**
 * Limits the number of requests without a whole answer, and the memory of their heads: one of 16 KiB may need half a megabyte
 * if it consists of short lines. The last quarter is left to owners that have few.
 */
export class RequestSlots {
  readonly #counts = new Map<Owner, number>();
  #count = 0;
  #headBytes = 0;

  /** @param limits - limits of all requests together */
  constructor(private readonly limits: RequestLimits) {}

  /** Number of requests without a whole answer. */
  get count(): number {
    return this.#count;
  }

  /**
   * Claims a slot for a request.
   *
   * @param owner - owner of the request
   * @param headBytes - memory of its head, in bytes
   * @returns releases the slot, once; undefined if there is none for this owner
   */
  claim(owner: Owner, headBytes: number): (() => void) | undefined {
    const { requests } = this.limits;
    const countedBytes = headBytes > SPARED_HEAD_BYTES ? headBytes : 0;
    if (countedBytes > 0 && this.#headBytes + countedBytes > this.limits.headBytes)
      return undefined;
    const held = this.#counts.get(owner) ?? 0;
    // Clients that are not known may be many.
    const isGreedy = owner !== undefined && held >= requests * MAX_OWNER_PART;
    if (this.#count >= requests * (isGreedy ? SHARED_PART : 1)) return undefined;
    this.#add(owner, 1);
    this.#headBytes += countedBytes;
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      this.#add(owner, -1);
      this.#headBytes -= countedBytes;
    };
  }

  #add(owner: Owner, change: number): void {
    this.#count += change;
    const count = (this.#counts.get(owner) ?? 0) + change;
    if (count === 0) this.#counts.delete(owner);
    else this.#counts.set(owner, count);
  }
}
