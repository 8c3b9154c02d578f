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

import { DecisionKind } from '../administration/index.js';
import { Authenticator } from './Authenticator.js';
import {
  BODY_TIMEOUT_MS,
  HEADER_LIMIT_BYTES,
  HEADERS_TIMEOUT_MS,
  KEEP_ALIVE_TIMEOUT_MS,
  REQUEST_ID_LIMIT,
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
import type { CallerRequest, CallerRoute } from './types.js';

/** What the server needs of its daemon. */
export interface CallerServerOptions {
  readonly clock: Clock;
  readonly tracing: Tracing;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly journal: RequestJournal;
  readonly routes: readonly CallerRoute[];
  /** Serves the paths that need no key; answers whether it did. */
  readonly serveOpenPath: (path: string, response: ServerResponse) => boolean;
  readonly getConfiguration: () => Configuration | undefined;
  /** Callers connect over TLS where there is a certificate. */
  readonly certificate: ReloadingCertificate | undefined;
}

/** Labels of requests that were refused before their service and class were known. */
const UNKNOWN_TARGET = { service: 'unknown', className: 'unknown' };

const SERVER_LIMITS = {
  maxHeaderSize: HEADER_LIMIT_BYTES,
  headersTimeout: HEADERS_TIMEOUT_MS,
  requestTimeout: BODY_TIMEOUT_MS,
  keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
} as const;

const REQUEST_ID = /^[\x21-\x7e]+$/;

const getHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const getRequestId = (request: IncomingMessage): RequestId => {
  const sent = getHeader(request, 'x-request-id') ?? '';
  const isUsable = sent.length <= REQUEST_ID_LIMIT && REQUEST_ID.test(sent);
  return (isUsable ? sent : randomUUID()) as RequestId;
};

const parseUrl = (request: IncomingMessage): URL | undefined => {
  try {
    return new URL(request.url ?? '/', 'http://localhost');
  } catch {
    return undefined;
  }
};

/** Serves callers over HTTP: finds route and workspace, and answers errors. */
export class CallerServer {
  readonly server: Server;
  readonly #options: CallerServerOptions;
  readonly #authenticator = new Authenticator();
  #open = 0;

  constructor(options: CallerServerOptions) {
    this.#options = options;
    this.server = this.#createServer();
    this.server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\n\r\n');
    });
  }

  readonly #createServer = (): Server => {
    const handle: RequestListener = (request, response) => void this.#handle(request, response);
    const { certificate } = this.#options;
    if (certificate === undefined) return createServer(SERVER_LIMITS, handle);
    const server = createTlsServer({ ...SERVER_LIMITS, ...certificate.getCertificate() }, handle);
    certificate.attach(server);
    return server;
  };

  /** @returns requests that have not been answered to the end */
  readonly countOpen = (): number => this.#open;

  readonly #handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = parseUrl(request);
    if (url !== undefined && this.#options.serveOpenPath(url.pathname, response)) return;
    this.#open += 1;
    response.once('close', () => {
      this.#open -= 1;
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
      this.#options.logger.error('A request failed inside the daemon.', fields);
      return;
    }
    this.#options.logger.debug(error.message, { requestId, code: error.code });
  };
}
