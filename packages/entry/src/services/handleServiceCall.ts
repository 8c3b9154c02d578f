import { ResultCode, RunState, SardinegradeError, toSardinegradeError } from '@sardinegrade/common';
import { deriveScopedKey, KEY_LENGTH_LIMIT } from '@sardinegrade/orders';

import { readBody } from '../callers/index.js';
import { IDEMPOTENCY_KEY_HEADER, REQUEST_HEADERS } from './constants.js';
import { pickHeaders } from './pickHeaders.js';
import { createRepeatableCallRunner } from './repeatableCall.js';
import { respondAnswer, respondProblem } from './serviceResponse.js';

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { OrderResult, ServiceRequest } from '@sardinegrade/orders';
import type { ServiceCallContext, ServiceHandlerOptions } from './types.js';

/** Handles an authenticated call to a plain service; the returned promise never rejects. */
export type ServiceCallHandler = (
  context: ServiceCallContext,
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void>;

const PRINTABLE_ASCII = /^[\x21-\x7e]+$/;

const readIdempotencyKey = (request: IncomingMessage): string | undefined => {
  const value = request.headers[IDEMPOTENCY_KEY_HEADER];
  const key = Array.isArray(value) ? value[0] : value;
  if (key === undefined || key === '') return undefined;
  if (key.length <= KEY_LENGTH_LIMIT && PRINTABLE_ASCII.test(key)) return key;
  throw new SardinegradeError(
    ResultCode.InvalidHeader,
    `Idempotency-Key must be 1 to ${KEY_LENGTH_LIMIT} printable ASCII characters without spaces.`,
  );
};

const requireIdempotencyKey = (key: string | undefined): string => {
  if (key !== undefined) return key;
  throw new SardinegradeError(
    ResultCode.MissingIdempotencyKey,
    'This call may not be repeated and needs an Idempotency-Key.',
  );
};

/**
 * Creates the handler of `ANY /services/{service}/{path}`.
 *
 * @param options - order service, service client, time and random source
 * @returns the handler; it sends the response, also in case of an error
 */
export const createServiceHandler = (options: ServiceHandlerOptions): ServiceCallHandler => {
  const { orders, findUpstreams } = options;
  const runRepeatable = createRepeatableCallRunner(options);

  const countSlots = (context: ServiceCallContext): number => {
    let slots = 0;
    for (const upstream of findUpstreams(context.service)) slots += upstream.slots;
    return slots;
  };

  const runCall = (
    context: ServiceCallContext,
    request: ServiceRequest,
    key: string | undefined,
  ): Promise<OrderResult> => {
    const { workspace, service, requestId, traceparent, deadlineAtMs } = context;
    const scopedKey = key === undefined ? '' : deriveScopedKey(workspace, key);
    if (service.repeatableMethods.has(request.method)) {
      return runRepeatable(context, request, scopedKey);
    }
    const orderKey = requireIdempotencyKey(key);
    // The service itself guarantees that the call is executed once, even while the platform is unavailable.
    if (service.upstreamDeduplicates) return runRepeatable(context, request, scopedKey);
    const concurrency = countSlots(context);
    const order = { workspace, service, key: orderKey, request, requestId, traceparent };
    return orders.submitOrder({ ...order, deadlineAtMs, concurrency });
  };

  const readRequest = async (
    context: ServiceCallContext,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<ServiceRequest> => ({
    method: request.method ?? 'GET',
    path: context.path,
    headers: pickHeaders(request.headers, REQUEST_HEADERS),
    body: await readBody({ ...context, request, response }, context.bodyLimitBytes),
  });

  const handle = async (
    context: ServiceCallContext,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> => {
    const key = readIdempotencyKey(request);
    // Rejects the call before reading its body, which may be large.
    if (!context.service.repeatableMethods.has(request.method ?? 'GET')) requireIdempotencyKey(key);
    const result = await runCall(context, await readRequest(context, request, response), key);
    if ('error' in result) {
      options.onEnd?.(context, { error: result.error, isReplay: false });
      respondProblem(response, context, result.error);
      return;
    }
    options.onEnd?.(context, { error: undefined, isReplay: result.isReplay });
    respondAnswer(response, context, result.answer, result.isReplay);
  };

  return async (context, request, response) => {
    try {
      await handle(context, request, response);
    } catch (thrown) {
      const error = toSardinegradeError(thrown, RunState.Unknown);
      options.onEnd?.(context, { error, isReplay: false });
      if (response.headersSent) response.destroy();
      else respondProblem(response, context, error);
    }
  };
};
