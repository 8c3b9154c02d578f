import type { IncomingMessage, ServerResponse } from 'node:http';
import type { HeldBytes } from '../relay/index.js';

/** Outcome of reading a body. */
export enum BodyEnd {
  Whole = 'whole',
  TooLarge = 'too_large',
  /** The bodies of all requests together exceed the memory for them. What follows of this one is dropped. */
  NoMemory = 'no_memory',
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
  /** Limits the bodies of all requests together. */
  readonly held: HeldBytes;
}

/**
 * Reads the complete body of a request. Its bytes count as held until the response has ended.
 *
 * @param request - the caller's request
 * @param response - the response to it
 * @param limits - limits of this body, and of all together
 * @returns the outcome; the body is undefined if the request has none
 */
export const readBody = (
  request: IncomingMessage,
  response: ServerResponse,
  { limitBytes, held }: BodyLimits,
): Promise<BodyRead> => {
  const hasBody =
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined;
  if (!hasBody) return Promise.resolve({ end: BodyEnd.Whole, body: undefined });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    let isDropped = false;
    const cancel = (): void => {
      isDropped = true;
      chunks.length = 0;
      resolve({ end: BodyEnd.NoMemory });
    };
    response.once('close', () => held.remove(cancel));
    request.on('data', (chunk: Buffer) => {
      if (isDropped) return;
      bytes += chunk.length;
      if (bytes > limitBytes) {
        request.pause();
        resolve({ end: BodyEnd.TooLarge });
        return;
      }
      chunks.push(chunk);
      held.add(cancel, chunk.length);
    });
    request.on('end', () => {
      held.keep(cancel);
      resolve({ end: BodyEnd.Whole, body: Buffer.concat(chunks) });
    });
    request.on('error', () => resolve({ end: BodyEnd.Broken }));
    request.on('close', () => resolve({ end: BodyEnd.Broken }));
  });
};
