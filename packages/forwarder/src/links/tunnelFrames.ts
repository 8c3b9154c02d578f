import { Transform } from 'node:stream';

/** Size of the length that precedes the bytes of a frame, in bytes. */
const LENGTH_BYTES = 4;

/** Maximum number of bytes in a frame; a worker's socket is read in smaller chunks. */
export const MAX_FRAME_BYTES = 1_024 * 1_024;

const formatLength = (bytes: number): Buffer => {
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(bytes);
  return length;
};

/** The frame without bytes: what was sent before it is whole. */
const END_FRAME = formatLength(0);

/**
 * Creates a stream that encodes the bytes of a worker as frames. They end with an empty frame, which is written only if the
 * worker has ended in order: the end of the connection that carries them means nothing.
 *
 * @param hasEndedInOrder - tells, once no more bytes follow, whether the worker has ended in order
 * @returns the stream; it fails if the worker has not
 */
export const createFrameEncoder = (hasEndedInOrder: () => boolean): Transform =>
  new Transform({
    transform(chunk: Buffer, _encoding, callback) {
      for (let start = 0; start < chunk.length; start += MAX_FRAME_BYTES) {
        const bytes = chunk.subarray(start, start + MAX_FRAME_BYTES);
        this.push(formatLength(bytes.length));
        this.push(bytes);
      }
      callback();
    },
    flush(callback) {
      if (hasEndedInOrder()) callback(null, END_FRAME);
      else callback(new Error('the worker has reset its connection'));
    },
  });

/** What a chunk of frames contains. */
export interface DecodedFrames {
  /** Bytes of the worker, in order. */
  readonly bytes: readonly Buffer[];
  /** Whether the empty frame has arrived. */
  readonly hasEnded: boolean;
}

/** Decodes frames. It holds no bytes of a frame that is incomplete so far. */
export class FrameDecoder {
  #length = Buffer.alloc(0);
  #missingBytes = 0;
  #hasEnded = false;

  /**
   * Adds received bytes.
   *
   * @param chunk - the bytes
   * @returns the decoded bytes; what follows the empty frame is dropped
   * @throws Error if a frame is longer than `MAX_FRAME_BYTES`: the bytes are no frames
   */
  push(chunk: Buffer): DecodedFrames {
    const bytes: Buffer[] = [];
    let rest = chunk;
    while (rest.length > 0 && !this.#hasEnded) {
      if (this.#missingBytes === 0) {
        rest = this.#readLength(rest);
        continue;
      }
      const part = rest.subarray(0, this.#missingBytes);
      bytes.push(part);
      this.#missingBytes -= part.length;
      rest = rest.subarray(part.length);
    }
    return { bytes, hasEnded: this.#hasEnded };
  }

  /** Returns what follows the length, or the part of it that has arrived. */
  #readLength(chunk: Buffer): Buffer {
    const known = this.#length;
    const part = chunk.subarray(0, LENGTH_BYTES - known.length);
    const length = Buffer.concat([known, part]);
    const rest = chunk.subarray(part.length);
    if (length.length < LENGTH_BYTES) {
      this.#length = length;
      return rest;
    }
    this.#length = Buffer.alloc(0);
    this.#missingBytes = length.readUInt32BE();
    if (this.#missingBytes > MAX_FRAME_BYTES)
      throw new Error(`a frame of ${this.#missingBytes} bytes exceeds ${MAX_FRAME_BYTES}`);
    this.#hasEnded = this.#missingBytes === 0;
    return rest;
  }
}
