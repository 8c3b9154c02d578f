import { Duplex } from 'node:stream';

import { toError } from '@sardinegrade/common';

import { FrameDecoder } from './tunnelFrames.js';

import type { Socket } from 'node:net';

/**
 * The end of a tunnel at the VM that has opened it. It ends in order only if the other VM has said that the worker did, and
 * fails otherwise: a VM that dies closes its connections as if their answers were whole.
 */
export class TunnelSocket extends Duplex {
  readonly #decoder = new FrameDecoder();
  #bytesRead = 0;
  #hasEnded = false;

  /**
   * @param socket - connection to the other VM, which sends frames
   * @param head - frames that have arrived with the other VM's answer
   */
  constructor(
    private readonly socket: Socket,
    head: Buffer,
  ) {
    super({
      read: () => void socket.resume(),
      write: (chunk: Buffer, encoding, callback) => void socket.write(chunk, encoding, callback),
      final: (callback) => void socket.end(callback),
      destroy: (error, callback) => {
        socket.destroy();
        callback(error);
      },
    });
    if (head.length > 0) socket.unshift(head);
    socket.on('data', (chunk: Buffer) => this.#receive(chunk));
    socket.on('end', () => this.#checkEnd());
    socket.on('error', (error) => this.destroy(error));
    socket.on('close', () => this.#checkEnd());
  }

  /** Number of bytes that the worker has sent. */
  get bytesRead(): number {
    return this.#bytesRead;
  }

  #receive(chunk: Buffer): void {
    if (this.#hasEnded || this.destroyed) return;
    try {
      const { bytes, hasEnded } = this.#decoder.push(chunk);
      this.#pushAll(bytes);
      if (!hasEnded) return;
      this.#hasEnded = true;
      this.push(null);
    } catch (error) {
      this.destroy(toError(error));
    }
  }

  #pushAll(chunks: readonly Buffer[]): void {
    for (const chunk of chunks) {
      this.#bytesRead += chunk.length;
      if (!this.push(chunk)) this.socket.pause();
    }
  }

  #checkEnd(): void {
    if (this.#hasEnded) return;
    this.destroy(new Error('the VM that passes on the bytes has closed its connection'));
  }
}
