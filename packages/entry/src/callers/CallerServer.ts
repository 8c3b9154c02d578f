import { randomUUID } from 'node:crypto';
import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';

import {
  Hop,
  parseTraceparent,
  ResultCode,
  SardinegradeError,
  toSardinegradeError,
} from '@sardinegrade/common';
import { LIMITED_SERVER, attachConnections } from '@sardinegrade/ingress';

import { DecisionKind } from '../administration/index.js';
import { Authenticator } from './Authenticator.js';
import {
  CROWDED_RETRY_MS,
  KEEP_ALIVE_TIMEOUT_MS,
  REQUEST_ID_LIMIT_CHARACTERS,
} from './constants.js';
import { sendError } from './errorAnswer.js';
import { ErrorFormat } from './types.js';

import type { IncomingMessage, RequestListener, Server, ServerResponse } from 'node:http';
import type {
  Clock,
  Configuration,
  Logger,
  Metrics,
  RequestId,
  Tracing,
} from '@sardinegrade/common';
import type { RequestJournal } from '../administration/index.js';
import type { ReloadingCertificate } from '@sardinegrade/fleet';
import type { Ingress } from '@sardinegrade/ingress';
import type { CallerRequest, CallerRoute } from './types.js';

/** Settings and dependencies of a `CallerServer`. */
export interface CallerServerOptions {
  readonly clock: Clock;
  readonly tracing: Tracing;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly journal: RequestJournal;
  readonly routes: readonly CallerRoute[];
  /** Serves a path that requires no key; returns false if the path is not one of them. */
  readonly serveUnauthenticatedPath: (path: string, response: ServerResponse) => boolean;
  readonly getConfiguration: () => Configuration | undefined;
  /** Certificate for TLS; if undefined, callers connect over plain HTTP. */
  readonly certificate: ReloadingCertificate | undefined;
  /** Limits of what callers make this daemon hold. */
  readonly ingress: Ingress;
}

/** Labels of requests that were rejected before their service and class were determined. */
const UNKNOWN_TARGET = { service: 'unknown', className: 'unknown' };

const SERVER_LIMITS = { ...LIMITED_SERVER, keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS } as const;

const REQUEST_ID = /^[\x21-\x7e]+$/;

const getHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const getRequestId = (request: IncomingMessage): RequestId => {
  const sent = getHeader(request, 'x-request-id') ?? '';
  const isUsable = sent.length <= REQUEST_ID_LIMIT_CHARACTERS && REQUEST_ID.test(sent);
  return (isUsable ? sent : randomUUID()) as RequestId;
};

const parseUrl = (request: IncomingMessage): URL | undefined => {
  try {
    return new URL(request.url ?? '/', 'http://localhost');
  } catch {
    return undefined;
  }
};

/** The HTTP server for callers: authenticates requests, dispatches them to routes and sends error responses. */
export class CallerServer {
  readonly server: Server;
  readonly #options: CallerServerOptions;
  readonly #authenticator = new Authenticator();
  #openRequests = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.server = this.#createServer();
    attachConnections(this.server, options.ingress.connections);
  }

  readonly #createServer = (): Server => {
    const handle: RequestListener = (request, response) => void this.#handle(request, response);
    const { certificate } = this.#options;
    if (certificate === undefined) return createServer(SERVER_LIMITS, handle);
    const server = createTlsServer({ ...SERVER_LIMITS, ...certificate.getCertificate() }, handle);
    certificate.attach(server);
    return server;
  };

  /** @returns number of requests whose response has not been closed yet */
  readonly countOpen = (): number => this.#openRequests;

  readonly #handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    if (!this.#options.ingress.connections.addAnswer(response)) return;
    const url = parseUrl(request);
    if (url !== undefined && this.#options.serveUnauthenticatedPath(url.pathname, response)) return;
    this.#openRequests += 1;
    response.once('close', () => {
      this.#openRequests -= 1;
    });
    response.on('error', () => undefined);
    await this.#serve(request, response, url);
  };

  readonly #serve = async (
    request: IncomingMessage,
    response: ServerResponse,
    url: URL | undefined,
  ): Promise<void> => {
    const requestId = getRequestId(request);
    const parent = parseTraceparent(getHeader(request, 'traceparent') ?? '');
    const span = this.#options.tracing.startSpan(Hop.Entry, { parent, requestId });
    response.setHeader('x-request-id', requestId);
    response.setHeader('traceparent', span.traceparent);
    let format = ErrorFormat.OpenAi;
    let caller: CallerRequest | undefined;
    try {
      const { route, url: checkedUrl } = this.#findRoute(request, url);
      format = route.errorFormat;
      const configuration = this.#requireConfiguration();
      const workspace = this.#authenticator.findWorkspace(request, configuration);
      this.#claimRequest(request, response, workspace.name);
      const arrivedAtMs = this.#options.clock.getNowMs();
      caller = {
        requestId,
        workspace,
        configuration,
        arrivedAtMs,
        span,
        request,
        response,
        url: checkedUrl,
        ingress: this.#options.ingress,
        trail: this.#options.journal.start({
          requestId,
          workspace: workspace.name,
          traceId: span.context.traceId,
        }),
      };
      await route.serve(caller);
      span.finish();
    } catch (thrown) {
      const error = toSardinegradeError(thrown);
      this.#logError(error, requestId);
      if (caller !== undefined) this.#recordRefusal(caller, error);
      sendError(response, format, error);
      span.finish({ code: error.code });
    }
  };

  /** Limits the requests without a whole answer. */
  readonly #claimRequest = (
    request: IncomingMessage,
    response: ServerResponse,
    workspace: string,
  ): void => {
    const release = this.#options.ingress.claimRequest(request, workspace);
    if (release !== undefined) {
      response.once('close', release);
      return;
    }
    throw new SardinegradeError(
      ResultCode.Overloaded,
      'This VM serves as many requests as its memory and descriptors allow.',
      { retryAfterMs: CROWDED_RETRY_MS },
    );
  };

  readonly #findRoute = (
    request: IncomingMessage,
    url: URL | undefined,
  ): { readonly route: CallerRoute; readonly url: URL } => {
    const route = this.#options.routes.find(({ pattern }) => pattern.test(url?.pathname ?? ''));
    if (url === undefined || route === undefined) {
      throw new SardinegradeError(
        ResultCode.UnknownPath,
        'Unknown path; see /v1/chat/completions, /v1/models and /services/{service}/{path}.',
      );
    }
    if (route.methods !== undefined && !route.methods.includes(request.method ?? '')) {
      throw new SardinegradeError(
        ResultCode.MethodNotAllowed,
        `Use ${route.methods.join(' or ')} for ${url.pathname}.`,
      );
    }
    return { route, url };
  };

  readonly #requireConfiguration = (): Configuration => {
    const configuration = this.#options.getConfiguration();
    if (configuration !== undefined) return configuration;
    throw new SardinegradeError(ResultCode.NotReady, 'This VM has no configuration yet.', {
      retryAfterMs: 1_000,
    });
  };

  readonly #recordRefusal = (
    { trail, workspace }: CallerRequest,
    error: SardinegradeError,
  ): void => {
    if (trail.isFinished()) return;
    const { code, message } = error;
    const { service, className } = trail.getTarget() ?? UNKNOWN_TARGET;
    trail.record(DecisionKind.Refused, message, { code });
    trail.finish(code);
    this.#options.metrics.recordFailure({ service, className, workspace: workspace.name, code });
  };

  readonly #logError = (error: SardinegradeError, requestId: RequestId): void => {
    const fields = { requestId, code: error.code, error };
    if (error.code === ResultCode.Internal) {
      this.#options.logger.error('Request failed with an internal error.', fields);
      return;
    }
    this.#options.logger.debug(error.message, { requestId, code: error.code });
  };
}
