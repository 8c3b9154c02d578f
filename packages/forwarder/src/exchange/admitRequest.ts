import { setImmediate } from 'node:timers/promises';

import { ResultCode } from '@sardinegrade/common';
import { BodyEnd, readBody } from '@sardinegrade/ingress';
import { computeRetryAfterMs } from '@sardinegrade/routing';

import { DEFAULT_TIMEOUT_MS, DRAINING_RETRY_MS } from '../constants.js';
import { SyncedKind } from '../ForwarderState.js';
import { sendLocalReply } from '../front/sendLocalReply.js';
import { findRequestFault } from './findRequestFault.js';
import { findStreamOrigin } from './findStreamOrigin.js';
import { hashRequest } from './hashRequest.js';

import type { KeyHolder, Route, RoutingConfiguration } from '@sardinegrade/routing';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { LocalReply } from '../front/sendLocalReply.js';
import type { ForwarderState } from '../ForwarderState.js';
import type { CallerRequest } from '../types.js';
import type { AdmittedRequest } from './types.js';

/** Time after which callers may retry while no configuration is known, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Route and workspace of a request that may be served. */
interface Permission {
  readonly route: Route;
  readonly holder: KeyHolder | undefined;
}

const NOT_READY: LocalReply = {
  code: ResultCode.NotReady,
  message: 'No configuration is known yet.',
  retryAfterMs: NOT_READY_RETRY_MS,
};

const DRAINING: LocalReply = {
  code: ResultCode.NotReady,
  message: 'This VM is shutting down.',
  retryAfterMs: DRAINING_RETRY_MS,
};

/** Time after which callers may retry a quarantined request, in milliseconds. */
const QUARANTINED_RETRY_MS = 30_000;

const QUARANTINED: LocalReply = {
  code: ResultCode.Quarantined,
  message: 'The request was running on several workers when they crashed.',
  retryAfterMs: QUARANTINED_RETRY_MS,
};

/** Replies to requests whose bodies could not be read; none if the caller has left. */
const BODY_REPLIES: Readonly<
  Record<
    Exclude<BodyEnd, BodyEnd.Whole>,
    (state: ForwarderState, deadlineAtMs: number) => LocalReply | undefined
  >
> = {
  [BodyEnd.Broken]: () => undefined,
  [BodyEnd.TooLarge]: ({ configuration }) => ({
    code: ResultCode.BodyTooLarge,
    message: `The body exceeds ${configuration?.limits.bodyBytes ?? 0} bytes.`,
  }),
  [BodyEnd.TooSlow]: () => ({
    code: ResultCode.DeadlineBeforeStart,
    message: 'The body was not whole at the deadline of the request.',
  }),
  [BodyEnd.NoMemory]: ({ options }, deadlineAtMs) => ({
    code: ResultCode.Overloaded,
    message: 'The bodies of all requests exceed the memory for them.',
    retryAfterMs: computeRetryAfterMs(deadlineAtMs - options.getNowMs(), options.random),
  }),
};

/** Ends of bodies after which the connection closes, because the rest of the body is not read. */
const CLOSING_ENDS: ReadonlySet<BodyEnd> = new Set([BodyEnd.TooLarge, BodyEnd.TooSlow]);

/** Finds the time within which a body has to be whole: that of its request. */
const findBodyTimeoutMs = (
  { routes }: ForwarderState,
  { headers, url }: IncomingMessage,
  { deadlineMs = DEFAULT_TIMEOUT_MS }: CallerRequest,
): number => {
  const route = routes.find(headers.host ?? '', url ?? '/');
  return Math.min(deadlineMs, route?.timeoutMs ?? DEFAULT_TIMEOUT_MS);
};

const isReply = (result: object | undefined): result is LocalReply =>
  result !== undefined && 'code' in result;

const checkRequest = (
  state: ForwarderState,
  configuration: RoutingConfiguration,
  request: IncomingMessage,
  caller: CallerRequest,
): Permission | LocalReply => {
  const fault = findRequestFault(request);
  if (fault !== undefined) return { code: ResultCode.InvalidHeader, message: fault };
  const route = state.routes.find(request.headers.host ?? '', request.url ?? '/');
  if (route === undefined) return { code: ResultCode.UnknownPath, message: 'No route matches.' };
  const { keyHolders } = configuration;
  if (keyHolders === undefined) return { route, holder: undefined };
  const holder = caller.key === undefined ? undefined : keyHolders.get(caller.key);
  if (holder === undefined && !route.isPublic) {
    return { code: ResultCode.InvalidKey, message: 'The key is not known.' };
  }
  return { route, holder };
};

const toRoundedMs = (durationMs: number | undefined): number | undefined =>
  durationMs === undefined ? undefined : Math.round(durationMs);

const refuse = (
  state: ForwarderState,
  response: ServerResponse,
  caller: CallerRequest,
  reply: LocalReply,
): void => {
  state.options.logger.info('request refused at arrival', {
    requestId: caller.requestId,
    code: reply.code,
    generation: state.configuration?.version,
    inputs: {
      host: response.req.headers.host,
      reason: reply.message,
      resumes: caller.resumedRequestId,
      configuration_age_ms: toRoundedMs(state.configurationAgeMs),
      store_answer_age_ms: toRoundedMs(state.getStoreAnswerAgeMs(SyncedKind.Configuration)),
    },
  });
  if (state.isDraining) state.ingress.connections.closeAfter(response);
  sendLocalReply(response, reply);
};

/**
 * Checks whether the caller closed its connection right after its request. After a stall of the process both are
 * pending: the request is read in one iteration of the event loop, the end of the connection in the next.
 */
const hasCallerLeft = async ({ socket }: IncomingMessage): Promise<boolean> => {
  await setImmediate();
  await setImmediate();
  return socket.destroyed || socket.writableEnded;
};

/**
 * Reads a request and checks it against the active configuration. Replies to requests that are refused.
 *
 * @param state - state of the forwarder
 * @param request - the caller's request
 * @param response - response to the caller
 * @param caller - what the head of the request says
 * @returns the admitted request, or undefined if it was refused or its caller has left
 */
export const admitRequest = async (
  state: ForwarderState,
  request: IncomingMessage,
  response: ServerResponse,
  caller: CallerRequest,
): Promise<AdmittedRequest | undefined> => {
  const arrivedAtMs = state.options.getNowMs();
  const { configuration } = state;
  if (configuration === undefined) {
    refuse(state, response, caller, NOT_READY);
    return undefined;
  }
  const read = await readBody(request, response, {
    limitBytes: configuration.limits.bodyBytes,
    limitMs: findBodyTimeoutMs(state, request, caller),
    held: state.ingress.heldBodies,
    owner: state.findWorkspace(caller),
    turns: state.ingress.bodyTurns,
    onDropped: state.ingress.recordReleased,
  });
  if (read.end !== BodyEnd.Whole) {
    if (CLOSING_ENDS.has(read.end)) response.shouldKeepAlive = false;
    const deadlineAtMs = arrivedAtMs + (caller.deadlineMs ?? DEFAULT_TIMEOUT_MS);
    const reply = BODY_REPLIES[read.end](state, deadlineAtMs);
    if (reply !== undefined) refuse(state, response, caller, reply);
    return undefined;
  }
  const permission = checkRequest(state, state.configuration ?? configuration, request, caller);
  if (isReply(permission)) {
    refuse(state, response, caller, permission);
    return undefined;
  }
  const fingerprint = hashRequest(request.url ?? '', caller.key, read.body);
  if (state.crashes.isQuarantined(fingerprint, state.options.getNowMs())) {
    refuse(state, response, caller, QUARANTINED);
    return undefined;
  }
  if (await hasCallerLeft(request)) {
    state.options.logger.info(
      'request dropped: the caller closed its connection before the request was forwarded',
      {
        requestId: caller.requestId,
      },
    );
    return undefined;
  }
  const { route } = permission;
  const timeoutMs = Math.min(caller.deadlineMs ?? DEFAULT_TIMEOUT_MS, route.timeoutMs);
  const remainingMs = arrivedAtMs + timeoutMs - state.options.getNowMs();
  const origin = await findStreamOrigin(state, route, caller, remainingMs);
  if (isReply(origin)) {
    refuse(state, response, caller, origin);
    return undefined;
  }
  // Comes last: the process may have been draining while the caller or the origin was waited for.
  if (state.isDrainingTooLong) {
    refuse(state, response, caller, DRAINING);
    return undefined;
  }
  return { caller, ...permission, origin, body: read.body, fingerprint, arrivedAtMs, timeoutMs };
};
