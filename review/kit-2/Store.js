import { createServer } from 'node:http';

const WATCH_CHECK_MS = 5;

const readJson = async (request) => {
  let text = '';
  for await (const chunk of request) text += String(chunk);
  return text === '' ? {} : JSON.parse(text);
};

const sendJson = (response, status, body) => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
};

/** Stand-in for the platform's store: lists, watches and conditional writes of objects, as PROTOCOL.md describes them. */
export class Store {
  #kinds = new Map();
  #events = [];
  #revision = 1;
  #server = createServer((request, response) => void this.#handle(request, response));

  async listen() {
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
  }

  get port() {
    return this.#server.address().port;
  }

  close() {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes an object, as the operator or a worker does. */
  write(kind, name, spec) {
    const objects = this.#getObjects(kind);
    this.#revision += 1;
    const created = objects.get(name)?.metadata.created ?? this.#revision;
    const metadata = { name, revision: this.#revision, created, finalizers: [], deleting: false };
    const object = { metadata, spec, status: null };
    objects.set(name, object);
    this.#events.push({ kind, revision: this.#revision, object, removed: false });
    return object;
  }

  remove(kind, name) {
    const objects = this.#getObjects(kind);
    const object = objects.get(name);
    if (object === undefined) return;
    this.#revision += 1;
    objects.delete(name);
    this.#events.push({ kind, revision: this.#revision, object, removed: true });
  }

  #getObjects(kind) {
    if (!this.#kinds.has(kind)) this.#kinds.set(kind, new Map());
    return this.#kinds.get(kind);
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , , kind = '', name = ''] = url.pathname.split('/').map(decodeURIComponent);
    const { searchParams: query } = url;
    if (request.method === 'GET') this.#read(response, kind, name, query);
    else this.#change(request.method, response, { kind, name, query }, await readJson(request));
  }

  #change(method, response, { kind, name, query }, body) {
    const objects = this.#getObjects(kind);
    const target = name === '' ? (body.metadata?.name ?? '') : name;
    const known = objects.get(target);
    const expected = body.metadata?.revision ?? query.get('revision');
    if (method === 'POST' && known !== undefined) sendJson(response, 409, known);
    else if (method !== 'POST' && known === undefined) sendJson(response, 404, {});
    else if (
      known !== undefined &&
      expected != null &&
      Number(expected) !== known.metadata.revision
    )
      sendJson(response, 409, known);
    else if (method === 'DELETE') {
      this.remove(kind, target);
      sendJson(response, 200, {});
    } else sendJson(response, 200, this.write(kind, target, body.spec));
  }

  #read(response, kind, name, query) {
    const objects = this.#getObjects(kind);
    if (name !== '') {
      const object = objects.get(name);
      sendJson(response, object === undefined ? 404 : 200, object ?? {});
    } else if (query.has('watch')) this.#watch(response, kind, query);
    else {
      const after = query.get('after') ?? '';
      const items = [...objects.values()].filter(({ metadata }) => metadata.name > after);
      items.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
      sendJson(response, 200, { items, more: false, store_revision: this.#revision });
    }
  }

  #watch(response, kind, query) {
    const from = Number(query.get('watch'));
    const endAtMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    const check = () => {
      if (response.destroyed) return;
      const events = this.#events.filter((event) => event.kind === kind && event.revision > from);
      if (events.length === 0 && performance.now() < endAtMs) setTimeout(check, WATCH_CHECK_MS);
      else {
        const changes = events.map(({ object, removed }) => ({ object, removed }));
        sendJson(response, 200, { events: changes, store_revision: this.#revision });
      }
    };
    check();
  }
}
