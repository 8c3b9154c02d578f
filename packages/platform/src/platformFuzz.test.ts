import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { test } from 'node:test';

import fc from 'fast-check';

import { createPlatformClient } from './createPlatformClient.js';
import { PlatformError } from './PlatformError.js';

import type { AddressInfo } from 'node:net';
import type { HttpPlatformClient } from './createPlatformClient.js';

const SEED = 7;

interface Answer {
  readonly status: number;
  readonly body: string;
}

const withAnswers = async (
  run: (client: HttpPlatformClient, setAnswer: (answer: Answer) => void) => Promise<void>,
): Promise<void> => {
  let next: Answer = { status: 200, body: '' };
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(next.status, { 'content-type': 'application/json' }).end(next.body);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createPlatformClient({ address });
  try {
    await run(client, (answer) => {
      next = answer;
    });
  } finally {
    await client.close();
    server.close();
    server.closeAllConnections();
  }
};

const CALLS: Readonly<Record<string, (client: HttpPlatformClient) => Promise<unknown>>> = {
  read: (client) => client.read('kind', 'name'),
  list: (client) => client.list('kind', ''),
  write: (client) =>
    client.write({ kind: 'kind', name: 'name', ifVersion: 0, changeId: 'c', value: 1 }),
  remove: (client) => client.remove('kind', 'name', 1),
  watch: (client) => client.watch('kind', 0, 1),
  listVms: (client) => client.listVms(),
};

const object = fc.record({
  kind: fc.constant('kind'),
  name: fc.oneof(fc.string(), fc.constant('name')),
  version: fc.oneof(fc.nat(), fc.jsonValue()),
  change_id: fc.oneof(fc.string(), fc.jsonValue()),
  value: fc.jsonValue(),
});

const nearlyRight = fc.record(
  {
    version: fc.oneof(fc.nat(), fc.jsonValue()),
    current: fc.oneof(object, fc.constant(null)),
    objects: fc.oneof(fc.array(object, { maxLength: 3 }), fc.jsonValue()),
    next: fc.oneof(fc.string(), fc.constant(null)),
    changes: fc.oneof(fc.array(object, { maxLength: 3 }), fc.jsonValue()),
    truncated: fc.oneof(fc.boolean(), fc.jsonValue()),
    vms: fc.oneof(fc.array(fc.jsonValue(), { maxLength: 3 }), fc.jsonValue()),
  },
  { requiredKeys: [] },
);

const body = fc.oneof(
  fc.json(),
  fc.string(),
  object.map((value) => JSON.stringify(value)),
  nearlyRight.map((value) => JSON.stringify(value)),
);

test('whatever the platform answers, a call gives a value of its type or a platform error', () =>
  withAnswers(async (client, setAnswer) => {
    const call = fc.constantFrom(...Object.keys(CALLS));
    const status = fc.constantFrom(200, 204, 304, 400, 404, 409, 413, 429, 500, 503);
    const property = fc.asyncProperty(call, status, body, async (name, code, text) => {
      setAnswer({ status: code, body: code === 204 || code === 304 ? '' : text });
      try {
        await CALLS[name]?.(client);
      } catch (error) {
        assert.ok(error instanceof PlatformError, `${name}: ${String(error)}`);
      }
    });
    await fc.assert(property, { seed: SEED, numRuns: 600 });
  }));
