import { ErrorFormat, sendError } from '../callers/index.js';
import { REQUEST_ID_HEADER } from './constants.js';

import type { ServerResponse } from 'node:http';
import type { SardinegradeError } from '@sardinegrade/common';
import type { ServiceAnswer } from '@sardinegrade/orders';
import type { ServiceCallContext } from './types.js';

const setCommonHeaders = (response: ServerResponse, context: ServiceCallContext) => {
  response.setHeader(REQUEST_ID_HEADER, context.requestId);
  response.setHeader('traceparent', context.traceparent);
};

/**
 * Answers a call with what the service answered.
 *
 * @param response - the caller's response
 * @param context - the call
 * @param answer - the service's whole answer
 * @param isReplay - whether it was stored for an earlier call under the same key
 */
export const respondAnswer = (
  response: ServerResponse,
  context: ServiceCallContext,
  answer: ServiceAnswer,
  isReplay: boolean,
): void => {
  setCommonHeaders(response, context);
  for (const [name, value] of Object.entries(answer.headers)) response.setHeader(name, value);
  if (isReplay) response.setHeader('idempotency-replayed', 'true');
  response.writeHead(answer.status);
  response.end(answer.body);
};

/**
 * Answers a call with an error as `application/problem+json`.
 *
 * @param response - the caller's response
 * @param context - the call
 * @param error - the error, which says whether the call was carried out
 */
export const respondProblem = (
  response: ServerResponse,
  context: ServiceCallContext,
  error: SardinegradeError,
): void => {
  setCommonHeaders(response, context);
  sendError(response, ErrorFormat.Problem, error);
};
