import { createServer } from 'node:http';

import { ResultCode, toSardinegradeError } from '@sardinegrade/common';
import { MAX_HEAD_LINES } from '@sardinegrade/ingress';

import { CROWDED_RETRY_MS, IDLE_SWEEP_INTERVAL_MS } from '../constants.js';
import { admitRequest, CallerAnswer, decodeCaller, Exchange } from '../exchange/index.js';
import { sendLocalReply } from './sendLocalReply.js';

import type { SocketAddress } from '@sardinegrade/common';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ForwarderState } from '../ForwarderState.js';
import type { LocalReply } from './sendLocalReply.js';

/**
 * Maximum size of a request head, in bytes: twice what callers are expected to keep to (`CallerLimits.headerBytes`, which is
 * not enforced). Each connection may hold that much.
 */
const HEAD_LIMIT_BYTES = 32 * 1_024;

/** Interval at which Node checks for callers that send their request head too slowly, in milliseconds. */
const HEAD_CHECK_INTERVAL_MS = 1_000;

/** Reply to a request that could not be admitted because of an unexpected error: no worker has received it. */
const NOT_ADMITTED: LocalReply = {
  code: ResultCode.NotReady,
  message: 'The request failed unexpectedly.',
  retryAfterMs: 200,
};

/** Reply to a request beyond the number that this VM serves at the same time. */
const CROWDED: LocalReply = {
  code: ResultCode.Overloaded,
  message: 'This VM serves as many requests as its descriptors allow.',
  retryAfterMs: CROWDED_RETRY_MS,
};

/** HTTP server for callers. */
export class FrontServer {
  readonly #server: Server;
  readonly #sweepTimer: NodeJS.Timeout;
  readonly #exchanges = new Set<Exchange>();

  /** @param state - state of the forwarder */
  constructor(private readonly state: ForwarderState) {
    this.#server = createServer(
      {
        maxHeaderSize: HEAD_LIMIT_BYTES,
        connectionsCheckingInterval: HEAD_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (request, response) => {
        void this.#serve(request, response);
      },
    );
    this.#server.maxHeadersCount = MAX_HEAD_LINES;
    state.ingress.connections.attach(this.#server);
    this.#sweepTimer = setInterval(() => state.sweep(), IDLE_SWEEP_INTERVAL_MS);
  }

  /** Number of requests without a final answer. */
  get openExchanges(): number {
    return this.state.ingress.requests.count;
  }

  /**
   * Starts listening.
   *
   * @param address - address to listen on; port 0 selects a free port
   * @returns the port that the server listens on
   */
  listen(address: SocketAddress): Promise<number> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(address.port, address.host, () => {
        this.#server.off('error', reject);
        resolve((this.#server.address() as AddressInfo).port);
      });
    });
  }

  /** Applies the timeouts of the active configuration. */
  applyLimits(): void {
    const limits = this.state.configuration?.limits;
    if (limits === undefined) return;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /** Stops listening and closes idle connections; requests in progress continue. */
  close(): void {
    clearInterval(this.#sweepTimer);
    this.#server.close();
  }

  /** Gives a final answer to all requests in progress, because the process exits. */
  settleAll(): void {
    for (const exchange of this.#exchanges) exchange.settleForExit();
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (!this.state.ingress.connections.addAnswer(response)) return;
    try {
      await this.#admit(request, response);
    } catch (thrown) {
      this.state.options.logger.error('request failed unexpectedly', {
        error: toSardinegradeError(thrown),
      });
      new CallerAnswer(this.state, response).settle(NOT_ADMITTED);
    }
  }

  /** Starts the exchange of a request that is admitted; replies to others. */
  async #admit(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const caller = decodeCaller(this.state, request);
    const release = this.state.ingress.claimRequest(request, this.state.findWorkspace(caller));
    if (release === undefined) {
      // The rest of its body is not read.
      if (!request.complete) response.shouldKeepAlive = false;
      sendLocalReply(response, CROWDED);
      return;
    }
    response.once('close', release);
    const admitted = await admitRequest(this.state, request, response, caller);
    // The caller may have left while the origin of its stream was fetched.
    if (admitted === undefined || response.destroyed) return;
    const exchange = new Exchange(this.state, request, response, admitted);
    this.#exchanges.add(exchange);
    response.once('close', () => this.#exchanges.delete(exchange));
    exchange.start();
  }
}
