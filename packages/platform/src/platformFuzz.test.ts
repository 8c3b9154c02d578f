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

interface TestResponse {
  readonly status: number;
  readonly body: string;
}

const withTestServer = async (
  run: (client: HttpPlatformClient, setResponse: (response: TestResponse) => void) => Promise<void>,
): Promise<void> => {
  let nextResponse: TestResponse = { status: 200, body: '' };
  const server = createServer((request, response) => {
    request.resume();
    response
      .writeHead(nextResponse.status, { 'content-type': 'application/json' })
      .end(nextResponse.body);
  }).listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const client = createPlatformClient({ address });
  try {
    await run(client, (response) => {
      nextResponse = response;
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

const arbitraryObject = fc.record({
  kind: fc.constant('kind'),
  name: fc.oneof(fc.string(), fc.constant('name')),
  version: fc.oneof(fc.nat(), fc.jsonValue()),
  change_id: fc.oneof(fc.string(), fc.jsonValue()),
  value: fc.jsonValue(),
});

const arbitraryEnvelope = fc.record(
  {
    version: fc.oneof(fc.nat(), fc.jsonValue()),
    current: fc.oneof(arbitraryObject, fc.constant(null)),
    objects: fc.oneof(fc.array(arbitraryObject, { maxLength: 3 }), fc.jsonValue()),
    next: fc.oneof(fc.string(), fc.constant(null)),
    changes: fc.oneof(fc.array(arbitraryObject, { maxLength: 3 }), fc.jsonValue()),
    truncated: fc.oneof(fc.boolean(), fc.jsonValue()),
    vms: fc.oneof(fc.array(fc.jsonValue(), { maxLength: 3 }), fc.jsonValue()),
  },
  { requiredKeys: [] },
);

const arbitraryBody = fc.oneof(
  fc.json(),
  fc.string(),
  arbitraryObject.map((value) => JSON.stringify(value)),
  arbitraryEnvelope.map((value) => JSON.stringify(value)),
);

test('for any response, a call returns a value of its type or rejects with PlatformError', () =>
  withTestServer(async (client, setResponse) => {
    const call = fc.constantFrom(...Object.keys(CALLS));
    const status = fc.constantFrom(200, 204, 304, 400, 404, 409, 413, 429, 500, 503);
    const property = fc.asyncProperty(call, status, arbitraryBody, async (name, code, text) => {
      setResponse({ status: code, body: code === 204 || code === 304 ? '' : text });
      try {
        await CALLS[name]?.(client);
      } catch (error) {
        assert.ok(error instanceof PlatformError, `${name}: ${String(error)}`);
      }
    });
    await fc.assert(property, { seed: SEED, numRuns: 600 });
  }));
