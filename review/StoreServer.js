import { createServer } from 'node:http';

const HISTORY_S = 20;

const readJson = async (request) => {
  let text = '';
  for await (const chunk of request) text += String(chunk);
  return text === '' ? {} : JSON.parse(text);
};

/** Stand-in for the platform's store: objects by kind and name, lists, watches and conditional writes. */
export class StoreServer {
  #kinds = new Map();
  #events = [];
  #revision = 100;
  #waiting = new Set();
  #servers = [];
  /** Addresses at which calls are turned away with 503: the store may reject single machines. */
  rejected = new Set();

  /** Starts listening on a free port of a loopback address. */
  async listen() {
    this.address = await this.openAddress();
  }

  /** Starts listening on another free port, for a machine that may be rejected. */
  async openAddress() {
    const server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.#servers.push(server);
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${server.address().port}`;
  }

  close() {
    for (const server of this.#servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  #get(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  /** Writes an object, as the operator, a worker or a call does. */
  write(kind, name, spec) {
    const known = this.#get(kind).get(name);
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    this.#revision += 1;
    const created = known?.metadata.created ?? this.#revision;
    const metadata = { name, revision: this.#revision, created, finalizers: [], deleting: false };
    const object = { metadata, spec, status: null };
    this.#get(kind).set(name, object);
    this.#notify(kind, object, false);
    return object;
  }

  /** Removes an object. */
  remove(kind, name) {
    const object = this.#get(kind).get(name);
    if (object === undefined) return;
    this.#revision += 1;
    this.#get(kind).delete(name);
    const metadata = { ...object.metadata, revision: this.#revision };
    this.#notify(kind, { ...object, metadata }, true);
  }

  #notify(kind, object, removed) {
    const atMs = performance.now();
    this.#events.push({ kind, revision: this.#revision, object, removed, atMs });
    this.#events = this.#events.filter((event) => event.atMs > atMs - HISTORY_S * 1_000);
    for (const check of [...this.#waiting]) check();
  }

  async #serve(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , , kind = '', rawName = ''] = url.pathname.split('/');
    const name = decodeURIComponent(rawName);
    const body = await readJson(request);
    const reply = (status, value) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify(value));
    };
    if (this.rejected.has(`127.0.0.1:${request.socket.localPort}`)) {
      reply(503, {});
      return;
    }
    const known = this.#get(kind).get(name || body.metadata?.name);
    const revision = body.metadata?.revision ?? url.searchParams.get('revision');
    const isStale = known !== undefined && revision != null;
    if (request.method === 'GET') this.#read(kind, name, url.searchParams, reply, response);
    else if (request.method === 'POST' && known !== undefined) reply(409, known);
    else if (request.method === 'PUT' && known === undefined) reply(404, {});
    else if (isStale && Number(revision) !== known.metadata.revision) reply(409, known);
    else if (request.method === 'DELETE') {
      this.remove(kind, name);
      reply(known === undefined ? 404 : 200, known ?? {});
    } else reply(200, this.write(kind, name || body.metadata.name, body.spec));
  }

  #read(kind, name, query, reply, response) {
    if (name !== '') {
      const object = this.#get(kind).get(name);
      reply(object === undefined ? 404 : 200, object ?? {});
      return;
    }
    if (query.has('watch')) {
      this.#watch(kind, Number(query.get('watch')), Number(query.get('wait_ms')), reply, response);
      return;
    }
    const after = query.get('after') ?? '';
    const items = [...this.#get(kind).values()]
      .filter((object) => object.metadata.name > after)
      .sort((left, right) => (left.metadata.name < right.metadata.name ? -1 : 1));
    reply(200, { items, more: false, store_revision: this.#revision });
  }

  #watch(kind, revision, waitMs, reply, response) {
    const find = () => this.#events.filter((e) => e.kind === kind && e.revision > revision);
    const finish = () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      if (response.destroyed) return;
      if (this.rejected.has(`127.0.0.1:${response.req.socket.localPort}`)) {
        reply(503, {});
        return;
      }
      const events = find().map(({ object, removed }) => ({ object, removed }));
      reply(200, { events, store_revision: this.#revision });
    };
    const check = () => {
      if (find().length > 0) finish();
    };
    const timer = setTimeout(finish, waitMs);
    this.#waiting.add(check);
    response.once('close', finish);
    check();
  }
}
