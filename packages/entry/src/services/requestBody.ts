import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import type { IncomingMessage } from 'node:http';

/**
 * Reads a request's whole body.
 *
 * @param request - the caller's request
 * @param limitBytes - the largest body accepted
 * @returns the body
 * @throws SardinegradeError where it is larger or the caller is gone
 */
export const readRequestBody = async (
  request: IncomingMessage,
  limitBytes: number,
): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > limitBytes) break;
      chunks.push(chunk);
    }
  } catch (cause) {
    throw new SardinegradeError(ResultCode.CallerGone, 'The request was cut off.', { cause });
  }
  if (bytes <= limitBytes) return Buffer.concat(chunks);
  throw new SardinegradeError(ResultCode.BodyTooLarge, `The body exceeds ${limitBytes} bytes.`);
};
