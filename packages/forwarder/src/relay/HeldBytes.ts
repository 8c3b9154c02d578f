/** Limits of the bytes that are held at the same time. */
export interface HeldBytesLimits {
  /** Maximum number of bytes of all messages together. */
  readonly maxBytes: number;
  /** Size up to which a message is not cancelled, in bytes. */
  readonly sparedBytes: number;
}

/** Limits the bytes of bodies that are held at the same time, of requests or of answers. */
export class HeldBytes {
  /** Bytes by message; a message is identified by the function that cancels it. */
  readonly #bytes = new Map<() => void, number>();
  /** The messages that are whole, and are not cancelled any more. */
  readonly #whole = new Set<() => void>();
  #totalBytes = 0;

  /** @param limits - limits of all messages together */
  constructor(private readonly limits: HeldBytesLimits) {}

  /** Bytes of all messages together. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Adds bytes to a message. Cancels the largest one that is not whole while there are too many bytes in all.
   *
   * @param cancel - cancels the message; always the same function for one message
   * @param bytes - number of bytes received
   */
  add(cancel: () => void, bytes: number): void {
    this.#bytes.set(cancel, (this.#bytes.get(cancel) ?? 0) + bytes);
    this.#totalBytes += bytes;
    while (this.#totalBytes > this.limits.maxBytes) {
      const largest = this.#findLargest();
      if (largest === undefined) return;
      this.remove(largest);
      largest();
    }
  }

  /** Keeps a message that is whole: it counts until it is removed, and is not cancelled. */
  keep(cancel: () => void): void {
    if (this.#bytes.has(cancel)) this.#whole.add(cancel);
  }

  /** Removes a message that was finished or cancelled. */
  remove(cancel: () => void): void {
    this.#totalBytes -= this.#bytes.get(cancel) ?? 0;
    this.#bytes.delete(cancel);
    this.#whole.delete(cancel);
  }

  #findLargest(): (() => void) | undefined {
    let largest: (() => void) | undefined;
    let largestBytes = this.limits.sparedBytes;
    for (const [cancel, bytes] of this.#bytes) {
      if (bytes <= largestBytes || this.#whole.has(cancel)) continue;
      largest = cancel;
      largestBytes = bytes;
    }
    return largest;
  }
}
