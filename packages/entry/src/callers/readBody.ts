import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import type { IncomingMessage } from 'node:http';

const createBodyTooLargeError = (limitBytes: number): SardinegradeError =>
  new SardinegradeError(ResultCode.BodyTooLarge, `The body is over ${limitBytes} bytes.`);

/**
 * Reads the body of a request.
 *
 * @param request - a request whose body has not been read yet
 * @param limitBytes - maximum size of the body
 * @returns the complete body
 * @throws SardinegradeError with code 1007 if the body is larger, 1005 if the caller aborted the request
 */
export const readBody = async (request: IncomingMessage, limitBytes: number): Promise<Buffer> => {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes)
    throw createBodyTooLargeError(limitBytes);
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limitBytes) throw createBodyTooLargeError(limitBytes);
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
