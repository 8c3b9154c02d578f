import { Agent, request as sendHttp } from 'node:http';

let nextId = 1;

/** Builds the id of a client attempt. */
export const buildId = () =>
  `${Date.now().toString(16)}${String(nextId++).padStart(5, '0')}`.slice(-16);

/** A client that keeps one channel open for its requests, one after another. */
export class Client {
  #agent = new Agent({ keepAlive: true, maxSockets: 1, keepAliveMsecs: 30_000 });
  vm;

  constructor(record, chooseVm) {
    this.record = record;
    this.chooseVm = chooseVm;
  }

  /** Sends one attempt and resolves with what the client has seen of it. */
  send({ method = 'POST', path, headers = {}, body, deadlineMs, host = 'desk.example' }) {
    const id = buildId();
    this.vm ??= this.chooseVm();
    const { vm } = this;
    const seen = {
      id,
      path,
      vm: vm.options.name,
      sentAtMs: performance.now(),
      writtenAtMs: undefined,
      status: undefined,
      isWhole: false,
      end: undefined,
      endedAtMs: undefined,
      body: '',
      deadlineMs,
    };
    this.record.sent.push(seen);
    return new Promise((resolve) => {
      const request = sendHttp({
        agent: this.#agent,
        host: vm.host,
        port: vm.front,
        method,
        path,
        headers: {
          Host: host,
          'X-Request-Id': id,
          'X-Deadline-Ms': String(deadlineMs),
          ...headers,
          ...(body === undefined ? {} : { 'Content-Length': Buffer.byteLength(body) }),
        },
      });
      let isEnded = false;
      const finish = (end) => {
        if (isEnded) return;
        isEnded = true;
        clearTimeout(timer);
        seen.end = end;
        seen.endedAtMs = performance.now();
        if (end !== 'answered') this.vm = undefined;
        resolve(seen);
      };
      const timer = setTimeout(() => {
        finish('client left');
        request.destroy();
      }, deadlineMs + 500);
      request.once('finish', () => (seen.writtenAtMs = performance.now()));
      request.once('socket', (socket) => (seen.localPort = socket.localPort));
      request.on('response', (response) => {
        seen.status = response.statusCode;
        seen.seal = response.headers['x-response-seal'];
        seen.answeredId = response.headers['x-request-id'];
        if (response.headers.connection === 'close') this.vm = undefined;
        response.on('data', (chunk) => (seen.body += chunk.toString('latin1')));
        response.on('close', () => {
          seen.isWhole = response.complete;
          finish(response.complete ? 'answered' : 'channel closed in the answer');
        });
        response.on('error', () => undefined);
      });
      request.on('error', (error) => finish(`channel failed: ${error.code ?? error.message}`));
      request.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
