import { ErrorFormat, keepUnreadAnswer, sendError } from '../callers/index.js';
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
 * Responds to a call with the answer of the service.
 *
 * @param response - the response to the caller
 * @param context - provides request id and trace context for the response headers
 * @param answer - the complete answer of the service
 * @param isReplay - whether the answer was stored for an earlier call with the same key
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
  keepUnreadAnswer(response, context.ingress, context.workspace);
};

/**
 * Responds to a call with an error as `application/problem+json`.
 *
 * @param response - the response to the caller
 * @param context - provides request id and trace context for the response headers
 * @param error - the error; its run state says whether the service may have executed the call
 */
export const respondProblem = (
  response: ServerResponse,
  context: ServiceCallContext,
  error: SardinegradeError,
): void => {
  setCommonHeaders(response, context);
  sendError(response, ErrorFormat.Problem, error);
};
