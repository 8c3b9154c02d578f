import { createServer } from 'node:http';

import { WORKER_SLOTS } from './buildConfiguration.js';
import { formatSeal } from './formatSeal.js';
import { RETRY_AFTER_S } from './checkRefusals.js';
import { STREAM_LENGTH } from './SoakLedger.js';
import { SoakProxy } from './SoakProxy.js';

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { SoakLedger } from './SoakLedger.js';

/** Interval between the events of a stream, in milliseconds. */
const EVENT_INTERVAL_MS = 25;

/** Time before an answer that is not a stream is sent, in milliseconds. */
const ANSWER_DELAY_MS = 15;

/** Prefix of the ids of prompt parts that crash workers. */
const POISON_PREFIX = 'bad';

/** @returns id of the nth prompt part that crashes workers */
export const formatPoisonedPart = (index: number): string => `${POISON_PREFIX}${index}`;

const isPoisonedPart = (part: string): boolean => part.startsWith(POISON_PREFIX);

/** Matches the head of a refusal that names a time, and the id of its request. */
const REFUSAL_ID = /^HTTP\/1\.1 503 .*\r\nX-Request-Id: (.*)\r\nX-Not-Executed: 1\r\nRetry-After: /;
/** Path at which it reports on itself. */
const REPORT_PATH = '/v1/report';

const MS_PER_SECOND = 1_000;

/** Requests that wait at a worker while its slots are in use, and fewer at a brittle one. */
const MAX_WAITING = 26;
const MAX_WAITING_IF_BRITTLE = 1;

/** State of a worker that falls over when it has rejected too many requests within a second. */
export interface Brittleness {
  /** Rejections a second that it bears, and names in its answers. */
  readonly perSecond: number;
  /** From when on it lets few requests wait and rejects the others, in milliseconds of the monotonic clock. */
  readonly fullFromMs: number;
}

const buildBrittleHeader = ({ perSecond }: Brittleness): Readonly<Record<string, string>> => ({
  'Server-Brittle': String(perSecond),
});

/** Stand-in for an upstream, called a worker here, behind a proxy. It records each request that it executes in the ledger. */
export class SoakWorker {
  readonly #server: Server;
  #proxy: SoakProxy | undefined;
  /** Limit that it names in its answers, in requests a second; undefined for none. */
  limit: number | undefined;
  /** Whether it says in its answers that it is leaving. */
  isLeaving = false;
  /** Whether it refuses all requests, naming the time after which to try again. */
  isRefusing = false;
  /** How many rejections it bears; undefined if any number. */
  brittleness: Brittleness | undefined;
  #version: string;
  #startedAtMs = Date.now();
  #running = 0;
  /** Starts of the requests that wait for a slot. */
  #waiting: readonly (() => void)[] = [];
  /** Times of its rejections within the last second. */
  #rejectedAtMs: readonly number[] = [];

  /**
   * @param id - id of the worker
   * @param version - version of its software, which it writes into each event
   * @param ledger - records the requests that the worker executes
   * @param onPoisoned - called with the crashing part of a stream that is about to begin; the worker has to be closed
   * @param onFall - called when it has rejected more requests than it bears; the worker has to be closed
   */
  constructor(
    readonly id: string,
    version: string,
    private readonly ledger: SoakLedger,
    private readonly onPoisoned: (part: string) => void,
    private readonly onFall: () => void,
  ) {
    this.#version = version;
    this.#server = createServer((request, response) => this.#serve(request, response));
  }

  /** Version of its software, which it writes into each event. */
  get version(): string {
    return this.#version;
  }

  /** When its process started, in Unix milliseconds. */
  get startedAtMs(): number {
    return this.#startedAtMs;
  }

  /** Starts again as another version, under its id and address. Its connections have to be reset. */
  startAs(version: string): void {
    this.#version = version;
    this.#startedAtMs = Date.now();
  }

  /** Proxy in front of the worker. */
  get proxy(): SoakProxy {
    if (this.#proxy === undefined)
      throw new Error('The worker has no proxy before listen() is called.');
    return this.#proxy;
  }

  /** Starts the worker and its proxy, each on a free port. */
  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    const { port } = this.#server.address() as AddressInfo;
    this.#proxy = new SoakProxy(port, (chunk) => this.#recordPassed(chunk));
    await this.#proxy.listen();
  }

  /** Closes the worker, its proxy and all connections at once, as a crash does. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
    this.#proxy?.close();
  }

  #serve(request: IncomingMessage, response: ServerResponse): void {
    const id = String(request.headers['x-request-id'] ?? '');
    request.resume();
    request.on('end', () => {
      if (request.url === REPORT_PATH) {
        response.end(JSON.stringify({ born: this.#startedAtMs }));
        return;
      }
      if (request.headers['x-expect-instance'] !== this.id) {
        response.writeHead(421, { 'X-Instance-Id': this.id });
        response.end();
        return;
      }
      if (this.isRefusing) {
        const atMs = performance.now();
        this.ledger.recordRefusal({ id, worker: this.id, atMs, passedAtMs: undefined });
        response.writeHead(503, {
          'X-Request-Id': id,
          'X-Not-Executed': '1',
          'Retry-After': String(RETRY_AFTER_S),
        });
        response.end();
        return;
      }
      const run = (): void => this.#run(id, request, response);
      if (this.#running < WORKER_SLOTS) run();
      else if (this.#waiting.length >= this.#getMaxWaiting()) this.#reject(id, response);
      else this.#wait(run, response);
    });
  }

  /** Records a refusal whose answer the proxy has passed on. Such an answer is one chunk, as it has no body. */
  #recordPassed(chunk: Buffer): void {
    const [, id] = REFUSAL_ID.exec(chunk.toString('latin1')) ?? [];
    if (id !== undefined) this.ledger.recordPassedRefusal(id, this.id, performance.now());
  }

  #getMaxWaiting(): number {
    const fullFromMs = this.brittleness?.fullFromMs ?? Infinity;
    return performance.now() >= fullFromMs ? MAX_WAITING_IF_BRITTLE : MAX_WAITING;
  }

  #wait(run: () => void, response: ServerResponse): void {
    this.#waiting = [...this.#waiting, run];
    response.once('close', () => {
      this.#waiting = this.#waiting.filter((other) => other !== run);
    });
  }

  #run(id: string, request: IncomingMessage, response: ServerResponse): void {
    this.#running += 1;
    response.once('close', () => this.#endRun());
    this.ledger.recordRun({
      id,
      worker: this.id,
      atMs: performance.now(),
      remainingMs: Number(request.headers['x-deadline-ms']),
      isResumed: request.headers['last-event-id'] !== undefined,
    });
    const parts = String(request.headers['x-prompt-prefix'] ?? '').split(',');
    const poison = parts.map((part) => part.split(':')[0] ?? '').find(isPoisonedPart);
    if (poison !== undefined) {
      setTimeout(() => this.onPoisoned(poison), ANSWER_DELAY_MS);
      return;
    }
    const headers = {
      'X-Request-Id': id,
      'X-Response-Seal': formatSeal(this.id),
      ...(this.limit === undefined ? {} : { 'Server-Limit': String(this.limit) }),
      ...this.#buildNotices(),
    };
    if (request.url?.includes('stream') === true) this.#stream(request, response, headers);
    else
      setTimeout(() => {
        response.writeHead(200, headers);
        response.end(`answer to ${id}`);
      }, ANSWER_DELAY_MS);
  }

  #endRun(): void {
    this.#running -= 1;
    const [next, ...others] = this.#waiting;
    this.#waiting = others;
    next?.();
  }

  #reject(id: string, response: ServerResponse): void {
    const nowMs = performance.now();
    const recent = this.#rejectedAtMs.filter((atMs) => nowMs - atMs < MS_PER_SECOND);
    this.#rejectedAtMs = [...recent, nowMs];
    response.writeHead(503, {
      'X-Request-Id': id,
      'X-Not-Executed': '1',
      ...this.#buildNotices(),
    });
    response.end();
    const bearable = this.brittleness?.perSecond ?? Infinity;
    if (this.#rejectedAtMs.length > bearable) this.onFall();
  }

  #buildNotices(): Readonly<Record<string, string>> {
    return {
      ...(this.brittleness === undefined ? {} : buildBrittleHeader(this.brittleness)),
      ...(this.isLeaving ? { 'Server-Leaving': '1' } : {}),
    };
  }

  #stream(
    request: IncomingMessage,
    response: ServerResponse,
    headers: Readonly<Record<string, string>>,
  ): void {
    let next = Number(request.headers['last-event-id'] ?? 0) + 1;
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
    const timer = setInterval(() => {
      if (next <= STREAM_LENGTH)
        response.write(`id: ${next}\nevent: ${this.version}\ndata: ${headers['X-Request-Id']}\n\n`);
      else {
        clearInterval(timer);
        response.end();
      }
      next += 1;
    }, EVENT_INTERVAL_MS);
    response.on('close', () => clearInterval(timer));
  }
}
