import { createServer } from 'node:http';

/**
 * Stand-in for a worker, as PROTOCOL.md describes it. It registers in the store, checks `X-Expect-Instance`, runs at most
 * `slots` requests at a time and rejects the others, and records each request that it runs.
 */
export class Worker {
  #server;
  #beatTimer;
  #seq = 0;
  running = 0;
  #sockets = new Set();
  #born = 0;
  port = 0;
  isUp = false;

  /** `answer(request, body, response, worker)` is called once a request begins to run. */
  constructor({ store, id, service, zone = 'zone-a', slots = 6, beatMs = 1_200, answer, onRun }) {
    Object.assign(this, { store, id, service, zone, slots, beatMs, answer, onRun });
  }

  get address() {
    return `127.0.0.1:${this.port}`;
  }

  /** Starts a lifetime, on the port of the last one. */
  async start(id = this.id) {
    this.id = id;
    this.#born = Date.now();
    this.#seq = 0;
    this.running = 0;
    this.#server = createServer({ keepAliveTimeout: 15_000 }, (request, response) =>
      this.#serve(request, response),
    );
    // The limits of the platform are in bytes.
    this.#server.maxHeadersCount = 0;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(this.port, '127.0.0.1', resolve));
    this.port = this.#server.address().port;
    this.isUp = true;
    this.report('ready');
    this.#beatTimer = setInterval(() => this.report('ready'), this.beatMs);
  }

  report(state) {
    this.#seq += 1;
    this.store.write('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state,
      cold_left_ms: 0,
      seq: this.#seq,
      born: this.#born,
    });
  }

  /** Crashes: all connections are reset and nothing is said to the store. */
  abort() {
    this.isUp = false;
    clearInterval(this.#beatTimer);
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  /** Ends the worker, after a run of the case. */
  close() {
    if (this.isUp) this.abort();
  }

  #serve(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      if (request.url === '/v1/report') {
        response.setHeader('Content-Type', 'application/json');
        response.end(JSON.stringify({ born: this.#born, seq: this.#seq, running: this.running }));
        return;
      }
      const id = request.headers['x-request-id'] ?? '';
      if (request.headers['x-expect-instance'] !== this.id) {
        response.writeHead(421, { 'X-Instance-Id': this.id, 'X-Request-Id': id }).end();
        return;
      }
      if (this.running >= this.slots) {
        response.writeHead(503, { 'X-Not-Executed': '1', 'X-Request-Id': id }).end();
        return;
      }
      this.running += 1;
      response.once('close', () => (this.running -= 1));
      const body = Buffer.concat(chunks);
      this.onRun?.({ worker: this.id, request, body });
      this.answer(request, body, response, this);
    });
  }
}
