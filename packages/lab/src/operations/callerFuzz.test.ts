import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { test } from 'node:test';

import fc from 'fast-check';

import { TestFleet, WORKSPACE_KEY } from './TestFleet.js';

const SEED = 7;

// Log output of an internal error: its result code, an unhandled rejection or an uncaught exception.
const INTERNAL_ERROR = /"code":9001|unhandled promise rejection|uncaught/i;

const sendRaw = async (port: number, bytes: string): Promise<void> => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  socket.end(bytes, 'latin1');
  await once(socket, 'close');
};

const target = fc.oneof(
  fc.constantFrom('/v1/chat/completions', '/v1/models', '/services/booking/a', '/services/', '//'),
  fc.webPath(),
  fc.string().map((text) => `/services/booking/${text}`),
  fc.constantFrom('*', '/services/%ff/%', '/services/booking/../..', 'http://a:1/x', '?'),
);
const method = fc.constantFrom('GET', 'POST', 'PUT', 'HEAD', 'OPTIONS', 'CONNECT', 'TRACE', 'X');
const headerName = fc.constantFrom(
  'sardinegrade-class',
  'idempotency-key',
  'x-request-id',
  'traceparent',
  'content-length',
  'content-type',
  'transfer-encoding',
  'expect',
  'upgrade',
  'authorization',
);
const headerValue = fc.oneof(
  fc.constantFrom('query', 'chunked', '0', '-1', '99999999999', '100-continue', 'h2c', '__proto__'),
  fc.string(),
  fc.string({ minLength: 300, maxLength: 600 }),
);
const header = fc.tuple(headerName, headerValue).map(([name, value]) => `${name}: ${value}`);

const message = fc.record(
  {
    role: fc.oneof(fc.constantFrom('user', 'system'), fc.string()),
    content: fc.oneof(fc.string(), fc.jsonValue()),
  },
  { requiredKeys: [] },
);
const chat = fc.record(
  {
    model: fc.oneof(fc.constant('drill-7b'), fc.string()),
    messages: fc.oneof(fc.array(message, { maxLength: 3 }), fc.jsonValue()),
    max_tokens: fc.oneof(fc.integer({ min: 1, max: 3 }), fc.jsonValue()),
    stream: fc.oneof(fc.boolean(), fc.jsonValue()),
    stream_options: fc.oneof(fc.constant({ include_usage: true }), fc.jsonValue()),
    stop: fc.jsonValue(),
    n: fc.constantFrom(1, 2),
  },
  { requiredKeys: ['model', 'messages', 'max_tokens'] },
);

test('malformed requests neither stop the daemon nor cause internal errors', async () => {
  const fleet = new TestFleet();
  try {
    await fleet.start({ vms: 1, engines: 1, slots: 4 });
    const applied = await fleet.runCli(['apply', fleet.writeConfiguration()]);
    assert.equal(applied.exitCode, 0, applied.stderr);
    const address = fleet.getEntryProcess(0).getAddress('callers');
    const port = Number(new URL(address).port);

    const raw = fc.asyncProperty(
      method,
      target,
      fc.array(header, { maxLength: 4 }),
      fc.string(),
      async (verb, path, headers, body) => {
        const auth = `authorization: Bearer ${WORKSPACE_KEY}`;
        const head = [`${verb} ${path} HTTP/1.1`, 'host: a', auth, ...headers].join('\r\n');
        await sendRaw(port, `${head}\r\n\r\n${body}`);
      },
    );
    await fc.assert(raw, { seed: SEED, numRuns: 400 });

    const body = fc.oneof(
      chat.map((value) => JSON.stringify(value)),
      fc.json(),
      fc.string(),
    );
    const chats = fc.asyncProperty(body, async (text) => {
      const response = await fetch(`${address}/v1/chat/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${WORKSPACE_KEY}` },
        body: text,
      });
      await response.text();
      assert.ok(response.status < 500, `status ${response.status} for the body ${text}`);
    });
    await fc.assert(chats, { seed: SEED, numRuns: 200 });

    assert.equal((await fleet.sendCompletion(0, 'still-alive')).status, 200);
    assert.doesNotMatch(fleet.getEntryProcess(0).stderr, INTERNAL_ERROR);
  } finally {
    await fleet.stop();
  }
});
