/** Which message is cancelled if there are too many bytes in all. */
export enum CancelOrder {
  /** The one that needs most, so that few are cancelled. */
  Largest = 'largest',
  /** The one that came last, so that those before it become whole. */
  Newest = 'newest',
  /** The one that came first, because it has made no progress for the longest time. */
  Oldest = 'oldest',
}

/** Limits of the bytes that are held at the same time. */
export interface HeldBytesLimits {
  /** Maximum number of bytes of all messages together. */
  readonly maxBytes: number;
  /**
   * Size up to which a message is not cancelled while larger ones can be, in bytes. Such messages may use a quarter of
   * `maxBytes` beyond it; then those that came first are cancelled.
   */
  readonly sparedBytes: number;
  readonly cancelOrder: CancelOrder;
  /** Maximum number of messages that are not whole; those that came first are cancelled. Unlimited by default. */
  readonly maxOpen?: number;
  /** Called with the number of bytes of a message that is removed, however it ended. */
  readonly onRemoved?: (bytes: number) => void;
}

/** Cancels a message, and identifies it: always the same function for one message. */
type Cancel = () => void;

/** Messages that may be cancelled and their bytes, in the order of their arrival. */
type OpenMessages = ReadonlyMap<Cancel, number>;

/** Part of `maxBytes` that only spared messages use beyond it. */
const SPARED_SHARE = 0.25;

const findFirst = (
  messages: OpenMessages,
  isWanted: (bytes: number) => boolean,
): Cancel | undefined => {
  for (const [cancel, bytes] of messages) if (isWanted(bytes)) return cancel;
  return undefined;
};

const findNewest = (
  messages: OpenMessages,
  isWanted: (bytes: number) => boolean,
): Cancel | undefined => {
  let found: Cancel | undefined;
  for (const [cancel, bytes] of messages) if (isWanted(bytes)) found = cancel;
  return found;
};

const findLargest = (
  messages: OpenMessages,
  isWanted: (bytes: number) => boolean,
): Cancel | undefined => {
  let found: Cancel | undefined;
  let most = 0;
  for (const [cancel, bytes] of messages) {
    if (bytes <= most || !isWanted(bytes)) continue;
    found = cancel;
    most = bytes;
  }
  return found;
};

/** Finds the message to cancel among those of a wanted size. */
const FINDERS: Readonly<Record<CancelOrder, typeof findFirst>> = {
  [CancelOrder.Largest]: findLargest,
  [CancelOrder.Newest]: findNewest,
  [CancelOrder.Oldest]: findFirst,
};

/** Limits the memory of bodies that are held at the same time, of requests or of answers. */
export class HeldBytes {
  readonly #open = new Map<Cancel, number>();
  /** The messages that are whole, and are not cancelled any more. */
  readonly #whole = new Map<Cancel, number>();
  #totalBytes = 0;

  /** @param limits - limits of all messages together */
  constructor(private readonly limits: HeldBytesLimits) {}

  /** Bytes of all messages together. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /** Number of messages that are not whole. */
  get openCount(): number {
    return this.#open.size;
  }

  /**
   * Adds bytes to a message. Cancels messages that are not whole while there are too many bytes in all. Only a call that
   * exceeds a limit looks at other messages, and cancels one of them each time it does.
   *
   * @param cancel - cancels the message
   * @param bytes - number of bytes that the message needs more than before
   */
  add(cancel: Cancel, bytes: number): void {
    this.#open.set(cancel, (this.#open.get(cancel) ?? 0) + bytes);
    this.#totalBytes += bytes;
    for (let selected = this.#select(); selected !== undefined; selected = this.#select()) {
      this.remove(selected);
      selected();
    }
  }

  /** Keeps a message that is whole: it counts until it is removed, and is not cancelled. */
  keep(cancel: Cancel): void {
    const bytes = this.#open.get(cancel);
    if (bytes === undefined) return;
    this.#open.delete(cancel);
    this.#whole.set(cancel, bytes);
  }

  /** Removes a message that was finished or cancelled. */
  remove(cancel: Cancel): void {
    const bytes = this.#open.get(cancel) ?? this.#whole.get(cancel);
    if (bytes === undefined) return;
    this.#totalBytes -= bytes;
    this.#open.delete(cancel);
    this.#whole.delete(cancel);
    this.limits.onRemoved?.(bytes);
  }

  /** Selects the message to cancel; undefined if there are not too many. */
  #select(): Cancel | undefined {
    const { maxBytes, sparedBytes, cancelOrder, maxOpen = Infinity } = this.limits;
    const isSpared = (bytes: number): boolean => bytes <= sparedBytes;
    const isLarge = (bytes: number): boolean => bytes > sparedBytes;
    if (this.#totalBytes > maxBytes) {
      const large = FINDERS[cancelOrder](this.#open, isLarge);
      if (large !== undefined) return large;
    }
    const isTooMuch = this.#totalBytes > maxBytes * (1 + SPARED_SHARE);
    if (!isTooMuch && this.#open.size <= maxOpen) return undefined;
    return findFirst(this.#open, isSpared) ?? findNewest(this.#open, isLarge);
  }
}
