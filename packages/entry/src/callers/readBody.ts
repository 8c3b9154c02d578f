import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import type { IncomingMessage } from 'node:http';

const createTooLarge = (limitBytes: number): SardinegradeError =>
  new SardinegradeError(ResultCode.BodyTooLarge, `The body is over ${limitBytes} bytes.`);

/**
 * Reads a request's body.
 *
 * @param request - the request
 * @param limitBytes - size at most
 * @returns the whole body
 * @throws SardinegradeError with code 1007 for a larger body, 1005 where the caller broke off
 */
export const readBody = async (request: IncomingMessage, limitBytes: number): Promise<Buffer> => {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) throw createTooLarge(limitBytes);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limitBytes) throw createTooLarge(limitBytes);
      chunks.push(chunk);
    }
  } catch (error) {
    if (error instanceof SardinegradeError) throw error;
    throw new SardinegradeError(ResultCode.MalformedBody, 'The body ended early.', {
      cause: error,
    });
  }
  return Buffer.concat(chunks, size);
};
