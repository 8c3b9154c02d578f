/** Limits the bytes of unfinished answers that are held at the same time. */
export class HeldAnswers {
  /** Bytes by answer; an answer is identified by the function that cancels it. */
  readonly #bytes = new Map<() => void, number>();
  #totalBytes = 0;

  /** @param maxBytes - maximum number of bytes of all answers together */
  constructor(private readonly maxBytes: number) {}

  /** Bytes of all answers together. */
  get totalBytes(): number {
    return this.#totalBytes;
  }

  /**
   * Adds bytes to an answer. Cancels the largest answer while there are too many bytes in all.
   *
   * @param cancel - cancels the answer; always the same function for one answer
   * @param bytes - number of bytes received
   */
  add(cancel: () => void, bytes: number): void {
    this.#bytes.set(cancel, (this.#bytes.get(cancel) ?? 0) + bytes);
    this.#totalBytes += bytes;
    while (this.#totalBytes > this.maxBytes) this.#cancelLargest();
  }

  /** Removes an answer that was finished or cancelled. */
  remove(cancel: () => void): void {
    this.#totalBytes -= this.#bytes.get(cancel) ?? 0;
    this.#bytes.delete(cancel);
  }

  #cancelLargest(): void {
    const [largest] = [...this.#bytes].reduce((first, second) =>
      second[1] > first[1] ? second : first,
    );
    this.remove(largest);
    largest();
  }
}
