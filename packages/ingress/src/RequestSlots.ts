import type { Owner } from './HeldBytes.js';

/** Share of the requests beyond which an owner that has more than half of them gets no more. */
const SHARED_PART = 0.75;
const MAX_OWNER_PART = 0.5;

/** Limits the number of requests without a whole answer. The last quarter is left to owners that have few. */
export class RequestSlots {
  readonly #counts = new Map<Owner, number>();
  #count = 0;

  /** @param limit - maximum number of requests */
  constructor(private readonly limit: number) {}

  /** Number of requests without a whole answer. */
  get count(): number {
    return this.#count;
  }

  /**
   * Claims a slot for a request.
   *
   * @param owner - owner of the request
   * @returns releases the slot, once; undefined if there is none for this owner
   */
  claim(owner: Owner): (() => void) | undefined {
    const held = this.#counts.get(owner) ?? 0;
    // Clients that are not known may be many.
    const isGreedy = owner !== undefined && held >= this.limit * MAX_OWNER_PART;
    if (this.#count >= this.limit * (isGreedy ? SHARED_PART : 1)) return undefined;
    this.#add(owner, 1);
    let isReleased = false;
    return () => {
      if (!isReleased) this.#add(owner, -1);
      isReleased = true;
    };
  }

  #add(owner: Owner, change: number): void {
    this.#count += change;
    const count = (this.#counts.get(owner) ?? 0) + change;
    if (count === 0) this.#counts.delete(owner);
    else this.#counts.set(owner, count);
  }
}
