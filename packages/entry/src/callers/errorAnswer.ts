import { STATUS_CODES } from 'node:http';

import { ErrorFormat } from './types.js';

import type { ServerResponse } from 'node:http';
import type { SardinegradeError } from '@sardinegrade/common';

const MS_PER_SECOND = 1_000;
const STATUS_UNAUTHORIZED = 401;
const STATUS_FORBIDDEN = 403;
const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY = 429;
const STATUS_SERVER_ERROR = 500;

const OPENAI_TYPES: ReadonlyMap<number, string> = new Map([
  [STATUS_UNAUTHORIZED, 'authentication_error'],
  [STATUS_FORBIDDEN, 'permission_error'],
  [STATUS_NOT_FOUND, 'not_found_error'],
  [STATUS_TOO_MANY, 'rate_limit_error'],
]);

const getOpenAiType = (status: number): string => {
  const special = OPENAI_TYPES.get(status);
  if (special !== undefined) return special;
  return status >= STATUS_SERVER_ERROR ? 'server_error' : 'invalid_request_error';
};

/**
 * Builds an error body in OpenAI's format, extended by the numeric result code and the run state.
 *
 * @param error - the error; its HTTP status determines the OpenAI error type
 * @returns the value to encode as JSON
 */
export const buildOpenAiError = (error: SardinegradeError): object => ({
  error: {
    message: error.message,
    type: getOpenAiType(error.httpStatus),
    param: null,
    code: error.code,
    run: error.run,
  },
});

const buildProblem = (error: SardinegradeError): object => ({
  type: 'about:blank',
  title: STATUS_CODES[error.httpStatus] ?? 'Error',
  status: error.httpStatus,
  detail: error.message,
  code: error.code,
  run: error.run,
});

interface ErrorRenderer {
  readonly contentType: string;
  readonly build: (error: SardinegradeError) => object;
}

const RENDERERS: Readonly<Record<ErrorFormat, ErrorRenderer>> = {
  [ErrorFormat.OpenAi]: { contentType: 'application/json', build: buildOpenAiError },
  [ErrorFormat.Problem]: { contentType: 'application/problem+json', build: buildProblem },
};

/**
 * Responds with an error. If the headers were already sent, the connection is destroyed instead, so that the caller
 * cannot take the partial response for a complete one.
 *
 * @param response - the response to the caller
 * @param format - the error format of the request's route
 * @param error - the error; its retry delay becomes the `retry-after` headers
 */
export const sendError = (
  response: ServerResponse,
  format: ErrorFormat,
  error: SardinegradeError,
): void => {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const renderer = RENDERERS[format];
  const body = JSON.stringify(renderer.build(error));
  if (error.retryAfterMs !== undefined) {
    response.setHeader('retry-after', Math.max(1, Math.ceil(error.retryAfterMs / MS_PER_SECOND)));
    response.setHeader('retry-after-ms', Math.max(1, Math.ceil(error.retryAfterMs)));
  }
  // The rest of a body that was not read completely would be parsed as the next request.
  if (!response.req.complete) response.setHeader('connection', 'close');
  response.writeHead(error.httpStatus, {
    'content-type': renderer.contentType,
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};
