import { createHash } from 'node:crypto';

import { ServiceKind } from '@sardinegrade/common';
import { CHARACTERS_PER_TOKEN, hashPrefixBlocks } from '@sardinegrade/upstream';

import { ErrorFormat, readBody } from '../callers/index.js';
import { CollectedAnswer, StreamedAnswer } from './AnswerSink.js';
import { ChatCall } from './ChatCall.js';
import { canUseClass, findTarget, readClassHeader } from './findTarget.js';
import { parseChatRequest } from './parseChatRequest.js';

import type { Fingerprint, ServiceConfiguration } from '@sardinegrade/common';
import type { CallerRequest, CallerRoute } from '../callers/index.js';
import type { ChatCallServices } from './ChatCall.js';

const FINGERPRINT_HEX_DIGITS = 16;
const MS_PER_SECOND = 1_000;

/** Settings and dependencies of the model routes. */
export interface ModelRouteOptions extends ChatCallServices {
  readonly bodyLimitBytes: number;
  /** Throws if a service that the given service depends on is unavailable. */
  readonly checkDependencies: (caller: CallerRequest, service: ServiceConfiguration) => void;
}

const buildFingerprint = (workspace: string, body: Buffer): Fingerprint =>
  createHash('sha256')
    .update(workspace)
    .update('\n')
    .update(body)
    .digest('hex')
    .slice(0, FINGERPRINT_HEX_DIGITS) as Fingerprint;

const serveChat = async (options: ModelRouteOptions, caller: CallerRequest): Promise<void> => {
  const body = await readBody(
    { ...caller, workspace: caller.workspace.name },
    options.bodyLimitBytes,
  );
  const chat = parseChatRequest(body);
  const { configuration, workspace } = caller;
  const target = findTarget(configuration, workspace, chat.model, readClassHeader(caller.request));
  caller.trail.setTarget({
    service: target.service.name,
    className: target.serviceClass.name,
    tier: target.serviceClass.tier,
  });
  options.checkDependencies(caller, target.service);
  const metadata = {
    id: caller.requestId,
    model: chat.model,
    createdAtMs: caller.arrivedAtMs,
    includesUsage: chat.includesUsage,
  };
  const sink = chat.isStreamed
    ? new StreamedAnswer(caller.response, metadata)
    : new CollectedAnswer(caller, metadata);
  const input = {
    caller,
    chat,
    target,
    fingerprint: buildFingerprint(workspace.name, body),
    promptTokens: Math.ceil(chat.prompt.length / CHARACTERS_PER_TOKEN),
    prefixBlocks: hashPrefixBlocks(chat.prompt),
    deadlineAtMs: caller.arrivedAtMs + target.serviceClass.deadlineMs,
  };
  await new ChatCall(options, input, sink).run();
};

const listModels = (caller: CallerRequest): Promise<void> => {
  const { configuration, workspace, response, arrivedAtMs } = caller;
  const data = [...configuration.services.values()]
    .filter((service) => service.kind === ServiceKind.Model)
    .filter((service) =>
      [...service.classes.values()].some((serviceClass) => canUseClass(serviceClass, workspace)),
    )
    .map((service) => ({
      id: service.model ?? service.name,
      object: 'model',
      created: Math.floor(arrivedAtMs / MS_PER_SECOND),
      owned_by: service.name,
    }));
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify({ object: 'list', data }));
  return Promise.resolve();
};

/**
 * Creates the routes of model services.
 *
 * @param options - settings and dependencies
 * @returns the routes for completions and for the list of models
 */
export const createModelRoutes = (options: ModelRouteOptions): readonly CallerRoute[] => [
  {
    pattern: /^\/v1\/chat\/completions$/,
    methods: ['POST'],
    errorFormat: ErrorFormat.OpenAi,
    serve: (caller) => serveChat(options, caller),
  },
  {
    pattern: /^\/v1\/models$/,
    methods: ['GET'],
    errorFormat: ErrorFormat.OpenAi,
    serve: listModels,
  },
];
