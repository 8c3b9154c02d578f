import { RunState, runWithTimeLimit } from '@sardinegrade/common';
import { request as sendHttp } from 'undici';

import { deriveAnswer } from '../standins/index.js';
import { CallerStream } from './CallerStream.js';
import { CallerOutcome } from './types.js';

import type { Dispatcher } from 'undici';
import type { CallerError } from './CallerStream.js';
import type { PlannedRequest, RequestResult } from './types.js';

/** Addresses, connections and clock with which a request is sent. */
export interface SendOptions {
  /** Base addresses, tried in order. Like a load balancer, the next one is used only if the connection is refused. */
  readonly addresses: readonly string[];
  readonly dispatcher: Dispatcher;
  /** Returns the milliseconds since the start of the run. */
  readonly getNowMs: () => number;
  /** Aborts the request when the run is stopped. */
  readonly signal: AbortSignal;
}

const buildExpected = (request: PlannedRequest): string => {
  const answer = deriveAnswer(`user: ${request.prompt}`, request.answerTokens);
  let text = '';
  for (let number = 0; number < answer.length; number += 1) text += answer.getToken(number);
  return text;
};

const buildBody = (request: PlannedRequest): string =>
  JSON.stringify({
    model: request.loadClass.model,
    stream: true,
    max_tokens: request.answerTokens,
    messages: [{ role: 'user', content: request.prompt }],
  });

const parseError = (text: string): CallerError => {
  try {
    const { error } = JSON.parse(text) as { error?: { code?: number; run?: RunState } };
    return { code: error?.code, run: error?.run };
  } catch {
    return { code: undefined, run: undefined };
  }
};

const classifyStream = (stream: CallerStream, request: PlannedRequest): CallerOutcome => {
  const isComplete = stream.hasClosingMarker && stream.error === undefined;
  if (isComplete) {
    return stream.text === buildExpected(request) ? CallerOutcome.Complete : CallerOutcome.Wrong;
  }
  if (stream.tokens > 0) return CallerOutcome.Truncated;
  return stream.error?.run === RunState.NotRun ? CallerOutcome.Refused : CallerOutcome.Failed;
};

const isRefusedConnection = (error: unknown): boolean =>
  error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';

const openResponse = async (
  request: PlannedRequest,
  options: SendOptions,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> => {
  let lastError: unknown;
  for (const address of options.addresses) {
    try {
      return await sendHttp(`${address}/v1/chat/completions`, {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          authorization: `Bearer ${request.key}`,
          'sardinegrade-class': request.loadClass.name,
        },
        body: buildBody(request),
        dispatcher: options.dispatcher,
        signal,
      });
    } catch (error) {
      if (!isRefusedConnection(error)) throw error;
      lastError = error;
    }
  }
  throw lastError;
};

const readAnswer = async (
  request: PlannedRequest,
  options: SendOptions,
  stream: CallerStream,
  signal: AbortSignal,
): Promise<CallerOutcome> => {
  const { statusCode, body } = await openResponse(request, options, signal);
  if (statusCode !== 200) {
    stream.error = parseError(await body.text());
    const isRefused = stream.error.run === RunState.NotRun || statusCode === 429;
    return isRefused ? CallerOutcome.Refused : CallerOutcome.Failed;
  }
  for await (const bytes of body) stream.push(bytes as Uint8Array);
  return classifyStream(stream, request);
};

/**
 * Sends one request and reads its answer.
 *
 * @param request - the planned request
 * @param options - addresses, connections, clock and abort signal
 * @returns the result, with latencies measured from the planned send time
 */
export const sendRequest = async (
  request: PlannedRequest,
  options: SendOptions,
): Promise<RequestResult> => {
  const stream = new CallerStream(options.getNowMs);
  const limit = { timeoutMs: request.loadClass.timeoutMs, signal: options.signal };
  const outcome = await runWithTimeLimit(limit, async (signal) => {
    try {
      return await readAnswer(request, options, stream, signal);
    } catch {
      if (signal.aborted) return CallerOutcome.TimedOut;
      return stream.tokens > 0 ? CallerOutcome.Truncated : CallerOutcome.Unreachable;
    }
  });
  const { firstTokenAtMs } = stream;
  return {
    request,
    outcome,
    atMs: request.atMs,
    endedAtMs: options.getNowMs(),
    tokens: stream.tokens,
    firstTokenMs: firstTokenAtMs === undefined ? undefined : firstTokenAtMs - request.atMs,
    tokenIntervalMs: stream.tokenIntervalMs,
    longestIntervalMs: stream.longestIntervalMs,
    code: stream.error?.code,
    run: stream.error?.run,
  };
};
