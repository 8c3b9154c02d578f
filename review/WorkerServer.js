import { createServer } from 'node:http';

const BEAT_MS = 1_200;

/**
 * Stand-in for a worker. It registers itself in the store, answers its own instance only, and hands each run to `onRun`.
 */
export class WorkerServer {
  #seq = 0;
  #running = 0;
  #waiting = [];
  #timer;
  #server;

  /**
   * @param options - id, service, store, slots, record, and `run(request, response, headers)` that answers a run
   */
  constructor(options) {
    this.options = { slots: 64, zone: 'zone-a', version: 'v1', host: '127.0.0.1', ...options };
    this.born = Date.now();
    this.state = 'ready';
  }

  async listen() {
    await this.#open(0);
    this.port = this.#server.address().port;
    this.address = `${this.options.host}:${this.port}`;
    this.#timer = setInterval(() => this.register(), BEAT_MS);
    this.register();
  }

  #open(port) {
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.keepAliveTimeout = 15_000;
    return new Promise((resolve) => this.#server.listen(port, this.options.host, resolve));
  }

  /** Starts again under its id and address, with another version, and writes its entry later. */
  async startAgain(version, entryDelayMs) {
    this.close();
    await this.#open(this.port);
    this.options.version = version;
    this.born = Date.now();
    this.#seq = 0;
    setTimeout(() => {
      this.register();
      this.#timer = setInterval(() => this.register(), BEAT_MS);
    }, entryDelayMs);
  }

  /** Resets all connections, as a crash does. */
  reset() {
    this.#server.closeAllConnections();
  }

  /** Writes the entry of this worker. */
  register() {
    const { store, id, service, zone, version, slots, address = this.address } = this.options;
    this.#seq += 1;
    const { born, state } = this;
    const entry = { service, address, zone, version, slots, state, cold_left_ms: 0, born };
    store.write('servers', id, { ...entry, seq: this.#seq });
  }

  close() {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #serve(request, response) {
    const { id, slots, record } = this.options;
    const requestId = request.headers['x-request-id'];
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (request.url === '/v1/report') {
        response.end(JSON.stringify({ stage: 'unified', models: [], born: this.born }));
        return;
      }
      if (request.url === '/healthz') {
        response.writeHead(200, { 'X-Instance-Id': id });
        response.end();
        return;
      }
      if ((request.headers['x-expect-instance'] ?? id) !== id) {
        response.writeHead(421, { 'X-Instance-Id': id });
        response.end();
        return;
      }
      const run = () => {
        if (response.destroyed) return;
        this.#running += 1;
        const startedAtMs = performance.now();
        const run = {
          id: requestId,
          worker: id,
          startedAtMs,
          path: request.url,
          endedAtMs: undefined,
        };
        record.runs.push(run);
        response.once('close', () => {
          run.endedAtMs = performance.now();
          run.isWhole = response.writableFinished;
          this.#running -= 1;
          this.#waiting.shift()?.();
        });
        const headers = { 'X-Request-Id': requestId, 'X-Response-Seal': `seal.${id}.${requestId}` };
        this.options.run(request, response, headers, Buffer.concat(chunks));
      };
      if (this.#running < slots) run();
      else if (this.#waiting.length < 24) this.#waiting.push(run);
      else {
        response.writeHead(503, { 'X-Request-Id': requestId, 'X-Not-Executed': '1' });
        response.end();
      }
    });
  }
}

/** Answers with a stream of events at a fixed pace, from the event after `Last-Event-Id`. */
export const answerStream = (request, response, headers, { events, intervalMs }) => {
  let next = Number(request.headers['last-event-id'] ?? 0) + 1;
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  const timer = setInterval(() => {
    if (next > events) {
      clearInterval(timer);
      response.end();
      return;
    }
    response.write(`id: ${next}\ndata: ${headers['X-Request-Id']} ${next} of ${events}\n\n`);
    next += 1;
  }, intervalMs);
  response.once('close', () => clearInterval(timer));
};

/** Answers with a plain body after the time of its work. */
export const answerPlain = (request, response, headers, { workMs, status = 200 }) => {
  setTimeout(() => {
    const body = `answer to ${headers['X-Request-Id']}`;
    response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) });
    response.end(body);
  }, workMs);
};
