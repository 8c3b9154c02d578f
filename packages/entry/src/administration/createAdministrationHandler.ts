import { createServer } from 'node:http';

import { ResultCode, toSardinegradeError } from '@sardinegrade/common';
import {
  attachConnections,
  createOperatorConnections,
  LIMITED_SERVER,
} from '@sardinegrade/ingress';

import { JSON_TYPE, PROBLEM_TYPE } from './constants.js';
import { MethodError } from './errors.js';
import { findAdministrator, requireRole } from './http/authenticate.js';
import { createRouteMatcher } from './http/matchRoute.js';
import { describeProblem, formatRetryAfter } from './http/problem.js';
import { AdministrationBodies } from './http/readBody.js';
import { ROUTES } from './routes/index.js';

import type { LimitListener } from '@sardinegrade/ingress';
import type {
  IncomingMessage,
  OutgoingHttpHeaders,
  RequestListener,
  Server,
  ServerResponse,
} from 'node:http';
import type { Route, RouteReply } from './http/types.js';
import type { AdministrationContext, Administrator } from './types.js';

const BASE_ADDRESS = 'http://administration';

const BODY_METHODS: ReadonlySet<string> = new Set(['PUT', 'POST']);

const checkAccess = (
  context: AdministrationContext,
  route: Route,
  request: IncomingMessage,
): Administrator | undefined => {
  if (route.role === undefined) return undefined;
  const administrator = findAdministrator(context.administrators, request.headers.authorization);
  requireRole(administrator, route.role);
  return administrator;
};

const parseTarget = (request: IncomingMessage): URL => {
  // Targets such as `//` or `*` match no route, but the URL parser must not throw on them.
  const target = request.url ?? '/';
  return new URL(`${BASE_ADDRESS}${target.startsWith('/') ? target : '/'}`);
};

const sendReply = (response: ServerResponse, reply: RouteReply): void => {
  const { status = 200, body, headers = {} } = reply;
  if (body === undefined) {
    response.writeHead(status, headers).end();
    return;
  }
  const isText = typeof body === 'string';
  const type = isText ? 'text/plain; charset=utf-8' : JSON_TYPE;
  const content = isText ? body : JSON.stringify(body);
  response
    .writeHead(status, { 'content-type': type, 'cache-control': 'no-store', ...headers })
    .end(content);
};

const sendProblem = (
  context: AdministrationContext,
  response: ServerResponse,
  thrown: unknown,
): void => {
  const { generation } = context.fleet.getConfigurationStatus();
  const problem = describeProblem(thrown, { generation });
  const headers: OutgoingHttpHeaders = { 'content-type': PROBLEM_TYPE };
  if (problem.retry_after_ms !== undefined) {
    headers['retry-after'] = formatRetryAfter(problem.retry_after_ms);
  }
  if (problem.status === 401) headers['www-authenticate'] = 'Bearer';
  if (thrown instanceof MethodError) headers.allow = thrown.allowed.join(', ');
  // The rest of the body stays unread, so the connection cannot be reused for another request.
  if (!response.req.complete) headers.connection = 'close';
  sendReply(response, { status: problem.status, headers, body: problem });
};

const logFailure = (context: AdministrationContext, thrown: unknown): void => {
  const { code } = toSardinegradeError(thrown);
  if (code === ResultCode.Internal) {
    context.logger.error('administration request failed', { error: thrown });
    return;
  }
  context.logger.debug('administration request refused', { code });
};

const respond = async (
  context: AdministrationContext,
  matchRoute: ReturnType<typeof createRouteMatcher>,
  bodies: AdministrationBodies,
  response: ServerResponse,
): Promise<RouteReply> => {
  const request = response.req;
  const target = parseTarget(request);
  const { route, path } = matchRoute(request.method ?? '', target.pathname);
  const administrator = checkAccess(context, route, request);
  const text = BODY_METHODS.has(route.method) ? await bodies.readText(request, response) : '';
  const { headers } = request;
  return route.handle(context, { administrator, path, query: target.searchParams, headers, text });
};

/**
 * Creates the request listener of the administration API.
 *
 * @param context - daemon state that the API reads and changes
 * @returns a listener for Node's HTTP server; it answers every request and never throws
 */
export const createAdministrationHandler = (context: AdministrationContext): RequestListener => {
  const matchRoute = createRouteMatcher(ROUTES);
  const bodies = new AdministrationBodies();
  return (_request, response) => {
    respond(context, matchRoute, bodies, response)
      .then((reply) => sendReply(response, reply))
      .catch((thrown: unknown) => {
        logFailure(context, thrown);
        if (response.headersSent) response.destroy();
        else sendProblem(context, response, thrown);
      });
  };
};

/**
 * Creates the server of the administration API.
 *
 * @param context - daemon state that the API reads and changes
 * @param onLimit - called each time a client exceeds a limit of the connections
 * @returns the server, which does not listen yet
 */
export const createAdministrationServer = (
  context: AdministrationContext,
  onLimit: LimitListener,
): Server => {
  const handle = createAdministrationHandler(context);
  const connections = createOperatorConnections(onLimit);
  const server = createServer(LIMITED_SERVER, (request, response) => {
    if (connections.addAnswer(response)) handle(request, response);
  });
  attachConnections(server, connections);
  return server;
};
