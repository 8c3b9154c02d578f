import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { test } from 'node:test';

import { parseConfiguration } from '@sardinegrade/fleet';

import { createEngineClient } from './createEngineClient.js';
import { OrderKind, OrderOutcome } from './enums.js';

import type { RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import type { EngineOrder } from './types.js';

const openEngine = async (context: TestContext, listener: RequestListener): Promise<string> => {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const createOrder = (address: string): EngineOrder => {
  const text = `[upstream.e]\npool = p\ndata_centre = dc-a\naddress = ${address}\n`;
  const [upstream] = parseConfiguration(text, 1).upstreams.values();
  assert.ok(upstream !== undefined);
  const nothing = { version: undefined, adapter: undefined, role: undefined };
  return { upstream, kind: OrderKind.Load, model: 'drill-7b', ...nothing };
};

const createClient = (context: TestContext) => {
  const client = createEngineClient(500);
  context.after(client.close);
  return client;
};

const createSending = (deadlineMs = 5_000) => ({
  fencing: 7,
  deadlineMs,
  signal: new AbortController().signal,
});

test('an answer of 200 is done, of 409 stale, of 503 failed', async (context) => {
  const client = createClient(context);
  const expected = [
    [200, OrderOutcome.Done],
    [409, OrderOutcome.Stale],
    [503, OrderOutcome.Failed],
  ] as const;
  for (const [status, outcome] of expected) {
    const address = await openEngine(context, (_request, response) => {
      response.writeHead(status).end('{"fencing": 9}');
    });
    assert.equal(await client.send(createOrder(address), createSending()), outcome);
  }
});

test('an engine that does not answer, answers nonsense or is gone ends as failed or unknown', async (context) => {
  const client = createClient(context);
  const silent = await openEngine(context, () => undefined);
  assert.equal(await client.send(createOrder(silent), createSending(50)), OrderOutcome.Failed);
  assert.equal(await client.readState(silent, 50), undefined);
  const nonsense = await openEngine(context, (_request, response) => {
    response.end('{"models": 3}');
  });
  assert.equal(await client.readState(nonsense, 5_000), undefined);
  const gone = 'http://127.0.0.1:1';
  assert.equal(await client.send(createOrder(gone), createSending()), OrderOutcome.Failed);
});
