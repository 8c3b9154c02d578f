import { ByteCollector } from './ByteCollector.js';

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HeldBytes, Owner } from './HeldBytes.js';
import type { TurnQueue } from './TurnQueue.js';

/** Outcome of reading a body. */
export enum BodyEnd {
  Whole = 'whole',
  TooLarge = 'too_large',
  /** The bodies of all requests together exceed the memory for them. What follows of this one is dropped. */
  NoMemory = 'no_memory',
  /** The body was not whole at the request's deadline. */
  TooSlow = 'too_slow',
  /** The caller closed the connection, or the body was malformed. */
  Broken = 'broken',
}

/** The body, or why it could not be read. */
export type BodyRead =
  | { readonly end: BodyEnd.Whole; readonly body: Buffer | undefined }
  | { readonly end: Exclude<BodyEnd, BodyEnd.Whole> };

/** Limits of the bodies of requests. */
export interface BodyLimits {
  /** Maximum size of the body, in bytes. */
  readonly limitBytes: number;
  /** Time within which the body has to be whole, in milliseconds. */
  readonly limitMs: number;
  /** Limits the bodies of all requests together. */
  readonly held: HeldBytes;
  /** Owner of the body among them. */
  readonly owner?: Owner;
  /** Number of copies of the body that its request needs until it has ended; 1 by default. */
  readonly copies?: number;
  /** Lets bodies of many small chunks take turns. */
  readonly turns: TurnQueue;
  /** Called with the size of each chunk that is dropped, in bytes. */
  readonly onDropped?: (bytes: number) => void;
}

/** Memory that a request with an open body needs beside the body, in bytes: its connection, its objects and its timer. */
const OPEN_BODY_COST_BYTES = 8 * 1_024;

/** Number of chunks of a body in one iteration of the event loop from which its next read waits for its turn. */
const COSTLY_READ_CHUNKS = 256;

/** Counts the chunks of a body in each iteration. After a costly one, its connection is read again when it is its turn. */
class ReadPacer {
  #chunks = 0;
  #iteration = -1;
  #isPaused = false;

  constructor(
    private readonly request: IncomingMessage,
    private readonly turns: TurnQueue,
  ) {}

  recordChunk(): void {
    const { iteration } = this.turns;
    if (iteration !== this.#iteration) this.#chunks = 0;
    this.#iteration = iteration;
    this.#chunks += 1;
    if (this.#chunks >= COSTLY_READ_CHUNKS && !this.#isPaused) this.#pause();
  }

  #pause(): void {
    this.#isPaused = true;
    const { request } = this;
    // Node reads the connection again after each chunk, through this method of the request.
    request._read = () => undefined;
    request.socket.pause();
    this.turns.add(this.resume);
  }

  readonly resume = (): void => {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    this.turns.remove(this.resume);
    Reflect.deleteProperty(this.request, '_read');
    this.request.socket.resume();
  };
}

/**
 * Reads the complete body of a request. The memory that it needs counts as held until the response has ended.
 *
 * @param request - the caller's request
 * @param response - the response to it
 * @param limits - limits of this body, and of all together
 * @returns the outcome; the body is undefined if the request has none
 */
export const readBody = (
  request: IncomingMessage,
  response: ServerResponse,
  { limitBytes, limitMs, held, owner, copies = 1, turns, onDropped }: BodyLimits,
): Promise<BodyRead> => {
  const hasBody =
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined;
  if (!hasBody) return Promise.resolve({ end: BodyEnd.Whole, body: undefined });
  return new Promise((resolve) => {
    const collector = new ByteCollector();
    const pacer = new ReadPacer(request, turns);
    let bytes = 0;
    let isDropped = false;
    let isWhole = false;
    const refuse = (end: Exclude<BodyEnd, BodyEnd.Whole>): void => {
      if (isDropped || isWhole) return;
      isDropped = true;
      collector.clear();
      held.remove(cancel);
      resolve({ end });
    };
    const cancel = (): void => refuse(BodyEnd.NoMemory);
    // A caller may read its refusal only after it has written its body, so the rest is read and dropped until the deadline.
    const timer = setTimeout(() => {
      if (isDropped) request.socket.destroy();
      else refuse(BodyEnd.TooSlow);
    }, limitMs);
    const stopReading = (): void => {
      clearTimeout(timer);
      turns.remove(pacer.resume);
    };
    response.once('close', () => held.remove(cancel));
    held.add(cancel, OPEN_BODY_COST_BYTES, owner);
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      pacer.recordChunk();
      if (bytes > limitBytes) {
        // No caller within the limits sends more.
        if (isDropped) request.socket.destroy();
        else request.pause();
        refuse(BodyEnd.TooLarge);
        return;
      }
      if (isDropped) onDropped?.(chunk.length);
      else held.add(cancel, copies * collector.add(chunk), owner);
    });
    request.on('end', () => {
      stopReading();
      pacer.resume();
      if (isDropped) return;
      isWhole = true;
      held.keep(cancel);
      const pieces = collector.takePieces();
      const body = pieces.length === 1 ? pieces[0] : Buffer.concat(pieces);
      resolve({ end: BodyEnd.Whole, body });
    });
    request.on('error', () => refuse(BodyEnd.Broken));
    request.on('close', () => {
      stopReading();
      refuse(BodyEnd.Broken);
    });
  });
};
