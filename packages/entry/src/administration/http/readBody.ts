import { ResultCode } from '@sardinegrade/common';
import { BodyEnd, CancelOrder, HeldBytes, readBody, TurnQueue } from '@sardinegrade/ingress';

import { BODY_LIMIT_BYTES, BODY_TIMEOUT_MS, MAX_HELD_BYTES } from '../constants.js';
import { ApiError } from '../errors.js';

import type { IncomingMessage, ServerResponse } from 'node:http';

const createTooLargeError = (): ApiError =>
  new ApiError(ResultCode.BodyTooLarge, `The body exceeds ${BODY_LIMIT_BYTES} bytes.`);

const decodeText = (body: Buffer): string => {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    throw new ApiError(ResultCode.MalformedBody, 'The body is not UTF-8.');
  }
};

const ERRORS: Readonly<Record<Exclude<BodyEnd, BodyEnd.Whole>, () => ApiError>> = {
  [BodyEnd.TooLarge]: createTooLargeError,
  [BodyEnd.NoMemory]: () =>
    new ApiError(ResultCode.Overloaded, 'The bodies of all requests exceed the memory for them.'),
  [BodyEnd.TooSlow]: () =>
    new ApiError(ResultCode.MalformedBody, `The body was not whole within ${BODY_TIMEOUT_MS} ms.`),
  [BodyEnd.Broken]: () => new ApiError(ResultCode.MalformedBody, 'The body was cut short.'),
};

/** Bodies of all requests to the administration port. */
export class AdministrationBodies {
  readonly #held = new HeldBytes({
    maxBytes: MAX_HELD_BYTES,
    sparedBytes: 0,
    cancelOrder: CancelOrder.Newest,
  });
  readonly #turns = new TurnQueue();

  /**
   * Reads a request body as UTF-8 text.
   *
   * @param request - the request
   * @param response - the response to it
   * @returns the text
   * @throws ApiError if the body is too large, incomplete, too slow or not UTF-8, or if all need too much memory
   */
  readonly readText = async (
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<string> => {
    if (Number(request.headers['content-length'] ?? 0) > BODY_LIMIT_BYTES)
      throw createTooLargeError();
    const read = await readBody(request, response, {
      limitBytes: BODY_LIMIT_BYTES,
      limitMs: BODY_TIMEOUT_MS,
      held: this.#held,
      turns: this.#turns,
    });
    if (read.end !== BodyEnd.Whole) throw ERRORS[read.end]();
    return read.body === undefined ? '' : decodeText(read.body);
  };
}

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
