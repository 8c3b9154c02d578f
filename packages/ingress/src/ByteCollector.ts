/** Size from which a chunk is kept as it is; smaller ones are copied into blocks. */
const KEPT_CHUNK_BYTES = 4 * 1_024;

/** Sizes of a block, in bytes: as much as has been collected before, within these limits. */
const MIN_BLOCK_BYTES = 1_024;
const MAX_BLOCK_BYTES = 64 * 1_024;

/** Memory that each kept chunk or block needs beside its bytes, in bytes. */
const PIECE_COST_BYTES = 256;

/**
 * Collects the chunks of a message. A chunk may be one byte that needs an object of some hundred bytes, or that retains the
 * whole buffer of a read, so small chunks are copied together.
 */
export class ByteCollector {
  readonly #pieces: Buffer[] = [];
  /** The block that is being filled, and how much of it is used. */
  #block: Buffer | undefined;
  #usedBytes = 0;
  #bytes = 0;
  #heldBytes = 0;
  /** Memory of the last chunk that was kept: further chunks of the same read need no more. */
  #lastMemory: ArrayBufferLike | undefined;

  /** Number of bytes collected. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Memory that the message needs, in bytes. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /**
   * Adds a chunk.
   *
   * @param chunk - the chunk, which must not change afterwards
   * @returns the memory that the message needs more than before, in bytes
   */
  add(chunk: Buffer): number {
    const heldBefore = this.#heldBytes;
    // The only chunk of most messages is kept in any case.
    if (chunk.length >= KEPT_CHUNK_BYTES || this.#bytes === 0) this.#keep(chunk);
    else this.#copy(chunk);
    this.#bytes += chunk.length;
    return this.#heldBytes - heldBefore;
  }

  /** Removes what was collected. */
  clear(): void {
    this.#pieces.length = 0;
    this.#block = undefined;
    this.#lastMemory = undefined;
    this.#heldBytes = 0;
  }

  /** @returns the message in pieces, which share memory with the collected chunks; nothing is held afterwards */
  takePieces(): readonly Buffer[] {
    this.#closeBlock();
    const pieces = [...this.#pieces];
    this.clear();
    return pieces;
  }

  #keep(chunk: Buffer): void {
    this.#closeBlock();
    this.#pieces.push(chunk);
    const { buffer } = chunk;
    const isCounted = buffer === this.#lastMemory;
    this.#heldBytes += PIECE_COST_BYTES + (isCounted ? 0 : buffer.byteLength);
    this.#lastMemory = buffer;
  }

  #copy(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const block = this.#block ?? this.#openBlock();
      const count = chunk.copy(block, this.#usedBytes, copied);
      copied += count;
      this.#usedBytes += count;
      if (this.#usedBytes === block.length) this.#closeBlock();
    }
  }

  #openBlock(): Buffer {
    const size = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.#bytes));
    const block = Buffer.allocUnsafeSlow(size);
    this.#block = block;
    this.#usedBytes = 0;
    this.#heldBytes += PIECE_COST_BYTES + size;
    return block;
  }

  #closeBlock(): void {
    if (this.#block !== undefined) this.#pieces.push(this.#block.subarray(0, this.#usedBytes));
    this.#block = undefined;
  }
}
