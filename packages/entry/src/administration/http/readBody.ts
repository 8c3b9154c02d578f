import { ResultCode } from '@sardinegrade/common';

import { BODY_LIMIT_BYTES } from '../constants.js';
import { ApiError } from '../errors.js';

import type { IncomingMessage } from 'node:http';

const createTooLargeError = (): ApiError =>
  new ApiError(ResultCode.BodyTooLarge, `The body exceeds ${BODY_LIMIT_BYTES} bytes.`);

const decodeText = (body: Buffer): string => {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    throw new ApiError(ResultCode.MalformedBody, 'The body is not UTF-8.');
  }
};

/**
 * Reads a request body as UTF-8 text.
 *
 * @param request - the request
 * @returns the text
 * @throws ApiError if the body is too large, incomplete or not UTF-8
 */
export const readText = async (request: IncomingMessage): Promise<string> => {
  if (Number(request.headers['content-length'] ?? 0) > BODY_LIMIT_BYTES)
    throw createTooLargeError();
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > BODY_LIMIT_BYTES) throw createTooLargeError();
      chunks.push(chunk);
    }
  } catch (error) {
    if (error instanceof ApiError) throw error;
    throw new ApiError(ResultCode.MalformedBody, 'The body was cut short.');
  }
  return decodeText(Buffer.concat(chunks));
};

/**
 * Parses a JSON body.
 *
 * @param text - the body
 * @returns the parsed value, not validated
 * @throws ApiError if the text is not JSON
 */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    throw new ApiError(ResultCode.MalformedBody, 'The body is not JSON.');
  }
};
