import { randomUUID } from 'node:crypto';

import { getHeader, getQueryNumber, readBody, readJson, sendJson } from '../http/index.js';
import { COMPLETION_SCHEMA, CONTROL_SCHEMA, ORDER_SCHEMA } from './schemas.js';
import { createJsonSink, createStreamSink } from './sinks.js';

import type { IncomingMessage } from 'node:http';
import type { Route, RoutedCall } from '../http/index.js';
import type { Engine } from './Engine.js';
import type { ModelManager } from './ModelManager.js';
import type { CompletionRequest, EngineControl } from './schemas.js';

/** Components of an engine stand-in that its routes use. */
export interface EngineParts {
  readonly engine: Engine;
  readonly models: ModelManager;
  readonly handleControl: (control: EngineControl, request: IncomingMessage) => void;
}

const CACHE_EVENTS_TIMEOUT_MS = 10_000;

const sendError = (call: RoutedCall, status: number, message: string): void =>
  sendJson(call.response, status, { error: { message, type: 'engine_error' } });

const refuse = (parts: EngineParts, call: RoutedCall, status: number, message: string): void => {
  parts.engine.counts.refused += 1;
  sendError(call, status, message);
};

const parseCompletion = (text: string): CompletionRequest | undefined => {
  try {
    return COMPLETION_SCHEMA.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
};

const getHeaderNumber = (request: IncomingMessage, name: string): number => {
  const value = Number(getHeader(request, name) ?? 0);
  return Number.isInteger(value) && value >= 0 ? value : 0;
};

const acceptAttempt = (
  parts: EngineParts,
  call: RoutedCall,
  id: string,
  body: string,
  request: CompletionRequest,
): void => {
  const { engine } = parts;
  const { response } = call;
  const reportedId = engine.hasWrongAttemptId ? `other-${id}` : id;
  engine.accept({
    id,
    body,
    request,
    priority: getHeaderNumber(call.request, 'x-priority'),
    resumeAt: getHeaderNumber(call.request, 'x-resume-at'),
    createSink: (answer, promptTokens) => {
      const createSink = request.stream === true ? createStreamSink : createJsonSink;
      return createSink(response, {
        attemptId: reportedId,
        model: request.model,
        promptTokens,
        finishReason: answer.isTruncated ? 'length' : 'stop',
        hasUsage: request.stream_options?.include_usage === true,
      });
    },
  });
  response.once('close', () => {
    if (!response.writableFinished) engine.cancel(id);
  });
};

const handleCompletion = async (parts: EngineParts, call: RoutedCall): Promise<void> => {
  const { engine, models } = parts;
  engine.recordArrival();
  const id = getHeader(call.request, 'x-attempt-id') ?? randomUUID();
  const body = await readBody(call.request);
  const request = parseCompletion(body);
  if (request === undefined) sendError(call, 400, 'The body is not a completion request.');
  else if (engine.isLeaving) refuse(parts, call, 503, 'The engine is leaving.');
  else if (!models.hasModel(request.model)) refuse(parts, call, 503, 'The model is not loaded.');
  else if (engine.hasAttempt(id)) sendError(call, 409, 'The attempt is running already.');
  else if (engine.isFull) refuse(parts, call, 429, 'The queue is full.');
  else acceptAttempt(parts, call, id, body, request);
};

const ATTEMPT_COMMANDS: Readonly<Record<string, (engine: Engine, id: string) => boolean>> = {
  cancel: (engine, id) => engine.cancel(id),
  pause: (engine, id) => engine.pause(id),
  resume: (engine, id) => engine.resume(id),
};

const handleCommand = (parts: EngineParts, call: RoutedCall): void => {
  const [id = '', command = ''] = call.parameters;
  if (ATTEMPT_COMMANDS[command]?.(parts.engine, id) !== true) {
    sendError(call, 404, 'No such attempt.');
    return;
  }
  call.response.writeHead(204).end();
};

const handleCacheEvents = async (parts: EngineParts, call: RoutedCall): Promise<void> => {
  const disconnected = new AbortController();
  call.response.once('close', () => disconnected.abort());
  const after = getQueryNumber(call.url, 'after', 0);
  const timeoutMs = getQueryNumber(call.url, 'timeout_ms', CACHE_EVENTS_TIMEOUT_MS);
  const events = await parts.engine.cacheEvents.wait(after, timeoutMs, disconnected.signal);
  sendJson(call.response, 200, { events });
};

const handleOrder = async (parts: EngineParts, call: RoutedCall): Promise<void> => {
  const order = ORDER_SCHEMA.safeParse(await readJson(call.request));
  if (!order.success) {
    sendError(call, 400, order.error.message);
    return;
  }
  parts.engine.counts.orders += 1;
  const result = await parts.models.execute(order.data);
  if (result.isStale) {
    parts.engine.counts.staleOrders += 1;
    sendJson(call.response, 409, { fencing: result.fencing });
  } else if (result.error === undefined) sendJson(call.response, 200, parts.models.getState());
  else sendError(call, 503, result.error);
};

const handleControl = async (parts: EngineParts, call: RoutedCall): Promise<void> => {
  const control = CONTROL_SCHEMA.safeParse(await readJson(call.request));
  if (!control.success) {
    sendError(call, 400, control.error.message);
    return;
  }
  parts.handleControl(control.data, call.request);
  sendJson(call.response, 200, {});
};

const buildModels = (parts: EngineParts) => ({
  object: 'list',
  data: parts.models.getState().models.map((id) => ({ id, object: 'model', owned_by: 'lab' })),
});

/**
 * Creates an engine's routing table.
 *
 * @param parts - the engine, its models and the handler of control requests
 * @returns the routes of the engine's protocol and of the control port
 */
export const createEngineRoutes = (parts: EngineParts): readonly Route[] => [
  {
    method: 'POST',
    pattern: /^\/v1\/chat\/completions$/,
    handle: (call) => handleCompletion(parts, call),
  },
  {
    method: 'POST',
    pattern: /^\/v1\/attempts\/([^/]+)\/(cancel|pause|resume)$/,
    handle: (call) => handleCommand(parts, call),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/load$/,
    handle: ({ response }) => sendJson(response, 200, parts.engine.getLoad()),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/cache-events$/,
    handle: (call) => handleCacheEvents(parts, call),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/models$/,
    handle: ({ response }) => sendJson(response, 200, buildModels(parts)),
  },
  { method: 'POST', pattern: /^\/v1\/orders$/, handle: (call) => handleOrder(parts, call) },
  {
    method: 'GET',
    pattern: /^\/v1\/orders$/,
    handle: ({ response }) => sendJson(response, 200, parts.models.getState()),
  },
  {
    method: 'GET',
    pattern: /^\/healthz$/,
    handle: ({ response }) => sendJson(response, 200, { status: 'ok' }),
  },
  {
    method: 'GET',
    pattern: /^\/control$/,
    handle: ({ response }) => sendJson(response, 200, parts.engine.counts),
  },
  {
    method: 'GET',
    pattern: /^\/control\/started$/,
    handle: ({ response }) => sendJson(response, 200, [...parts.engine.startedPrompts]),
  },
  { method: 'POST', pattern: /^\/control$/, handle: (call) => handleControl(parts, call) },
];
