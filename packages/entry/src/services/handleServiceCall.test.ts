import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { afterEach, test } from 'node:test';

import {
  FencingSupport,
  ResultCode,
  ServiceKind,
  SYSTEM_CLOCK,
  toBranded,
} from '@sardinegrade/common';
import { deriveClientLimits, Ingress } from '@sardinegrade/ingress';
import { request } from 'undici';

import { RetryBudgets } from '../retries/index.js';
import { createServiceHandler } from './handleServiceCall.js';
import { createServiceClient } from './serviceClient.js';

import type { IncomingHttpHeaders, RequestListener, Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { ServiceConfiguration, UpstreamConfiguration } from '@sardinegrade/common';
import type { OrderSubmission } from '@sardinegrade/orders';
import type { ServiceCallContext } from './types.js';

const INGRESS = new Ingress(deriveClientLimits({}));

const servers: Server[] = [];

afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

const openServer = async (listener: RequestListener): Promise<string> => {
  const server = createServer(listener);
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const SERVICE: ServiceConfiguration = {
  name: toBranded('booking'),
  kind: ServiceKind.Plain,
  model: undefined,
  pool: toBranded('booking'),
  dependsOn: [],
  classes: new Map(),
  defaultClass: toBranded('query'),
  repeatableMethods: new Set(['GET', 'HEAD']),
  upstreamDeduplicates: false,
  statusLookupPath: '/status/{key}',
  orderRetentionMs: 60_000,
  retry: { budgetShare: 0.1, attemptLimit: 3 },
};

const buildUpstream = (id: string, address: string): UpstreamConfiguration => ({
  id: toBranded(id),
  pool: SERVICE.pool,
  dataCentre: toBranded('a'),
  address,
  slots: 4,
  fencing: FencingSupport.Checked,
  draining: false,
});

interface Entry {
  readonly address: string;
  readonly submissions: OrderSubmission[];
}

const startEntry = async (
  upstreams: readonly UpstreamConfiguration[],
  overrides: Partial<ServiceCallContext> = {},
): Promise<Entry> => {
  const submissions: OrderSubmission[] = [];
  const submitOrder = (submission: OrderSubmission) => {
    submissions.push(submission);
    const answer = {
      status: 201,
      headers: { 'content-type': 'text/plain' },
      body: Buffer.from('booked'),
    };
    return Promise.resolve({ answer, isReplay: true });
  };
  let ids = 0;
  const handle = createServiceHandler({
    orders: { submitOrder },
    serviceClient: createServiceClient(() => upstreams, INGRESS.heldAnswers),
    findUpstreams: () => upstreams,
    clock: SYSTEM_CLOCK,
    sleep: () => Promise.resolve(),
    getRandom: () => 0,
    retryBudgets: new RetryBudgets(SYSTEM_CLOCK),
    newId: () => `attempt-${(ids += 1)}`,
  });
  const address = await openServer((incoming, response) => {
    void handle(
      {
        workspace: toBranded('rig-desk'),
        service: SERVICE,
        class: undefined as never,
        path: incoming.url ?? '/',
        requestId: toBranded('request-1'),
        traceparent: '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01',
        deadlineAtMs: SYSTEM_CLOCK.getNowMs() + 10_000,
        bodyLimitBytes: 1_000,
        ingress: INGRESS,
        signal: new AbortController().signal,
        ...overrides,
      },
      incoming,
      response,
    );
  });
  return { address, submissions };
};

const startService = (listener: RequestListener): Promise<string> =>
  openServer((incoming, response) => {
    response.setHeader('x-attempt-id', incoming.headers['x-attempt-id'] ?? '');
    listener(incoming, response);
  });

interface Problem {
  readonly code: ResultCode;
  readonly run: string;
}

test('a call that may not be repeated requires a key and is submitted as an order', async () => {
  const { address, submissions } = await startEntry([buildUpstream('a', 'http://127.0.0.1:1')]);
  const refused = await request(`${address}/orders`, { method: 'POST', body: 'bit' });
  assert.equal(refused.statusCode, 400);
  assert.equal(refused.headers['content-type'], 'application/problem+json');
  const problem = (await refused.body.json()) as Problem;
  assert.deepEqual([problem.code, problem.run], [ResultCode.MissingIdempotencyKey, 'not_run']);
  const headers = { 'idempotency-key': 'key-1' };
  const accepted = await request(`${address}/orders`, { method: 'POST', body: 'bit', headers });
  assert.equal(accepted.statusCode, 201);
  assert.equal(accepted.headers['idempotency-replayed'], 'true');
  assert.equal(accepted.headers['x-request-id'], 'request-1');
  assert.equal(await accepted.body.text(), 'booked');
  assert.deepEqual(
    submissions.map(({ key, concurrency }) => [key, concurrency]),
    [['key-1', 4]],
  );
});

test('a repeatable call skips an upstream that is down and is retried after an incomplete answer', async () => {
  let calls = 0;
  const service = await startService((_, response) => {
    calls += 1;
    if (calls === 1) response.destroy();
    else response.end('found');
  });
  const upstreams = [buildUpstream('down', 'http://127.0.0.1:1'), buildUpstream('up', service)];
  const { address } = await startEntry(upstreams);
  const answer = await request(`${address}/bits/1`);
  assert.equal(await answer.body.text(), 'found');
  assert.equal(calls, 2);
});

test('an answer with the id of another attempt is never forwarded', async () => {
  const service = await openServer((_, response) => {
    response.setHeader('x-attempt-id', 'other').end('not yours');
  });
  const { address } = await startEntry([buildUpstream('a', service)]);
  const answer = await request(`${address}/bits/1`);
  assert.equal(answer.statusCode, 502);
  assert.equal(((await answer.body.json()) as Problem).run, 'unknown');
});

test('the listed headers are forwarded, the workspace key and cookies are not', async () => {
  const received: IncomingHttpHeaders[] = [];
  const service = await startService((incoming, response) => {
    received.push(incoming.headers);
    response.setHeader('location', '/bits/1').setHeader('set-cookie', 'secret').end('found');
  });
  const { address } = await startEntry([buildUpstream('a', service)]);
  const headers = { authorization: 'Bearer key', accept: 'text/plain', cookie: 'secret' };
  const answer = await request(`${address}/bits/1`, { headers });
  assert.equal(await answer.body.text(), 'found');
  assert.deepEqual([answer.headers.location, answer.headers['set-cookie']], ['/bits/1', undefined]);
  const { accept, authorization, cookie } = received[0] ?? {};
  assert.deepEqual([accept, authorization, cookie], ['text/plain', undefined, undefined]);
});

test('a service that deduplicates receives the key scoped to its workspace and no order is recorded', async () => {
  const keys: unknown[] = [];
  const service = await startService((incoming, response) => {
    keys.push(incoming.headers['idempotency-key']);
    response.end('booked');
  });
  const deduplicating = { ...SERVICE, upstreamDeduplicates: true };
  const entry = await startEntry([buildUpstream('a', service)], { service: deduplicating });
  const headers = { 'idempotency-key': 'key-1' };
  const answer = await request(`${entry.address}/orders`, { method: 'POST', body: 'bit', headers });
  assert.equal(await answer.body.text(), 'booked');
  assert.deepEqual([keys, entry.submissions], [['rig-desk/key-1'], []]);
});

test('bodies and keys over their limits are rejected as not run', async () => {
  const { address, submissions } = await startEntry([]);
  const headers = { 'idempotency-key': 'key-1' };
  const body = 'a'.repeat(1_001);
  const large = await request(`${address}/orders`, { method: 'POST', body, headers });
  assert.equal(large.statusCode, 413);
  const longKey = { 'idempotency-key': 'k'.repeat(256) };
  const long = await request(`${address}/orders`, { method: 'POST', body: 'a', headers: longKey });
  assert.equal(long.statusCode, 400);
  assert.equal(((await long.body.json()) as Problem).code, ResultCode.InvalidHeader);
  assert.equal(submissions.length, 0);
});

test('nothing is sent if the call window has ended by the time the connection is open', async () => {
  let calls = 0;
  const service = await startService((_, response) => {
    calls += 1;
    response.end();
  });
  const serviceClient = createServiceClient(
    () => [buildUpstream('a', service)],
    INGRESS.heldAnswers,
  );
  const result = await serviceClient.callService({
    service: SERVICE,
    request: { method: 'POST', path: '/', headers: {}, body: Buffer.alloc(0) },
    scopedKey: 'rig-desk/key-1',
    attemptId: toBranded('attempt-1'),
    requestId: toBranded('request-1'),
    traceparent: '',
    timeoutMs: 1_000,
    canStart: () => false,
  });
  assert.deepEqual([result.outcome, calls], ['not_started', 0]);
});
