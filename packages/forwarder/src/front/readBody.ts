import type { IncomingMessage } from 'node:http';

/** Outcome of reading a body. */
export enum BodyEnd {
  Whole = 'whole',
  TooLarge = 'too_large',
  /** The caller closed the connection, or the body was malformed. */
  Broken = 'broken',
}

/** The body, or why it could not be read. */
export type BodyRead =
  | { readonly end: BodyEnd.Whole; readonly body: Buffer | undefined }
  | { readonly end: BodyEnd.TooLarge }
  | { readonly end: BodyEnd.Broken };

/**
 * Reads the complete body of a request.
 *
 * @param request - the caller's request
 * @param limitBytes - maximum size of the body, in bytes
 * @returns the outcome; the body is undefined if the request has none
 */
export const readBody = (request: IncomingMessage, limitBytes: number): Promise<BodyRead> => {
  const hasBody =
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined;
  if (!hasBody) return Promise.resolve({ end: BodyEnd.Whole, body: undefined });
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limitBytes) chunks.push(chunk);
      else {
        request.pause();
        resolve({ end: BodyEnd.TooLarge });
      }
    });
    request.on('end', () => resolve({ end: BodyEnd.Whole, body: Buffer.concat(chunks) }));
    request.on('error', () => resolve({ end: BodyEnd.Broken }));
    request.on('close', () => resolve({ end: BodyEnd.Broken }));
  });
};
