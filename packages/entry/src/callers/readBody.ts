import { ResultCode, SardinegradeError } from '@sardinegrade/common';
import { BodyEnd, readBody as readHeldBody } from '@sardinegrade/ingress';

import { BODY_COPIES, CROWDED_RETRY_MS, REQUEST_TIMEOUT_MS } from './constants.js';

import type { Ingress } from '@sardinegrade/ingress';
import type { IncomingMessage, ServerResponse } from 'node:http';

/** A request whose body is read, and what limits it. */
export interface BodySource {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly ingress: Ingress;
  readonly workspace: string;
}

const EMPTY = Buffer.alloc(0);

const createBodyTooLargeError = (limitBytes: number): SardinegradeError =>
  new SardinegradeError(ResultCode.BodyTooLarge, `The body is over ${limitBytes} bytes.`);

const ERRORS: Readonly<
  Record<Exclude<BodyEnd, BodyEnd.Whole>, (limitBytes: number) => SardinegradeError>
> = {
  [BodyEnd.TooLarge]: createBodyTooLargeError,
  [BodyEnd.NoMemory]: () =>
    new SardinegradeError(
      ResultCode.Overloaded,
      'The bodies of all requests exceed the memory for them.',
      { retryAfterMs: CROWDED_RETRY_MS },
    ),
  [BodyEnd.TooSlow]: () =>
    new SardinegradeError(
      ResultCode.DeadlineBeforeStart,
      `The body was not whole within ${REQUEST_TIMEOUT_MS} ms.`,
    ),
  [BodyEnd.Broken]: () => new SardinegradeError(ResultCode.MalformedBody, 'The body ended early.'),
};

/**
 * Reads the body of a request. The memory that it needs counts as held until the response has ended.
 *
 * @param source - a request whose body has not been read yet
 * @param limitBytes - maximum size of the body
 * @returns the complete body
 * @throws SardinegradeError with code 1007 if the body is larger, 2001 if the bodies of all requests need too much memory,
 *   2007 if it is not whole in time, 1005 if the caller aborted the request
 */
export const readBody = async (
  { request, response, ingress, workspace }: BodySource,
  limitBytes: number,
): Promise<Buffer> => {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes)
    throw createBodyTooLargeError(limitBytes);
  const read = await readHeldBody(request, response, {
    limitBytes,
    limitMs: REQUEST_TIMEOUT_MS,
    held: ingress.heldBodies,
    owner: workspace,
    copies: BODY_COPIES,
    turns: ingress.bodyTurns,
    onDropped: ingress.recordReleased,
  });
  if (read.end !== BodyEnd.Whole) throw ERRORS[read.end](limitBytes);
  return read.body ?? EMPTY;
};
