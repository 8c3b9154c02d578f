import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { test } from 'node:test';

import { Hop, problemSchema, ResultCode, startTracing } from '@sardinegrade/common';
import fc from 'fast-check';
import { request } from 'undici';

import { DecisionKind } from './journal/index.js';
import {
  CHANGE_KEY,
  createTestContext,
  READ_KEY,
  SETTLE_KEY,
  TEST_TEXT,
} from './testing/createTestContext.js';
import { startTestServer } from './testing/startTestServer.js';

import type { ProblemView, StatusView } from '@sardinegrade/common';
import type { TestContext } from './testing/createTestContext.js';

type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

interface CallOptions {
  readonly key?: string;
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

type CallApi = (
  method: Method,
  path: string,
  options?: CallOptions,
) => Promise<{
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly text: string;
}>;

const withServer = async (
  run: (call: CallApi, context: TestContext, port: number) => Promise<void>,
): Promise<void> => {
  const context = createTestContext();
  const server = await startTestServer(context);
  const call: CallApi = async (method, path, options = {}) => {
    const { key = READ_KEY, body = null, headers = {} } = options;
    const answer = await request(`${server.address}${path}`, {
      method,
      body,
      headers: { authorization: `Bearer ${key}`, ...headers },
    });
    const text = await answer.body.text();
    return { status: answer.statusCode, headers: answer.headers, text };
  };
  try {
    await run(call, context, server.port);
  } finally {
    server.close();
  }
};

const expectProblem = (
  answer: { readonly status: number; readonly text: string },
  code: ResultCode,
): ProblemView => {
  const problem = problemSchema.parse(JSON.parse(answer.text));
  assert.equal(problem.code, code);
  assert.equal(problem.status, answer.status);
  return problem;
};

test('a request without a key, with an unknown key or without the required role is refused', () =>
  withServer(async (call) => {
    const noKey = await call('GET', '/v1/status', { headers: { authorization: '' } });
    expectProblem(noKey, ResultCode.MissingKey);
    assert.equal(noKey.headers['www-authenticate'], 'Bearer');
    expectProblem(await call('GET', '/v1/status', { key: 'other' }), ResultCode.InvalidKey);
    const change = { body: TEST_TEXT, headers: { 'if-match': '"1"' } };
    expectProblem(await call('PUT', '/v1/configuration', change), ResultCode.RoleMissing);
    const settled = await call('POST', '/v1/orders/a/b/c/settlement', { key: CHANGE_KEY });
    expectProblem(settled, ResultCode.RoleMissing);
    expectProblem(await call('GET', '/metrics', { key: 'other' }), ResultCode.InvalidKey);
  }));

test('the second of two changes based on the same generation is refused, and the error has both generations', () =>
  withServer(async (call) => {
    const applyText = (text: string) =>
      call('PUT', '/v1/configuration', {
        key: CHANGE_KEY,
        body: text,
        headers: { 'if-match': '"1"' },
      });
    const first = await applyText(`${TEST_TEXT}slots = 4\n`);
    assert.equal(first.status, 200);
    assert.equal(first.headers.etag, '"2"');
    const problem = expectProblem(await applyText(TEST_TEXT), ResultCode.GenerationConflict);
    assert.match(problem.detail, /1.*2/);
    assert.equal(problem.current_generation, 2);
    const read = await call('GET', '/v1/configuration');
    assert.match(read.text, /slots = 4/);
    const again = await call('GET', '/v1/configuration', { headers: { 'if-none-match': '"2"' } });
    assert.equal(again.status, 304);
  }));

test('a change is refused if If-Match is missing or is not a generation', () =>
  withServer(async (call) => {
    for (const headers of [{}, { 'if-match': '*' }, { 'if-match': '"x"' }]) {
      const answer = await call('PUT', '/v1/configuration', {
        key: CHANGE_KEY,
        body: TEST_TEXT,
        headers,
      });
      expectProblem(answer, ResultCode.InvalidHeader);
    }
  }));

test('an invalid configuration text is refused with the line and key of each fault', () =>
  withServer(async (call) => {
    const body = TEST_TEXT.replace('kind = plain', 'kind = plane');
    const options = { key: CHANGE_KEY, body, headers: { 'if-match': '"1"' } };
    const refused = await call('PUT', '/v1/configuration', options);
    const problem = expectProblem(refused, ResultCode.ConfigurationInvalid);
    assert.deepEqual(
      problem.faults?.map(({ line, key }) => [line, key]),
      [[9, 'service.booking.kind']],
    );
    const checked = await call('POST', '/v1/configuration/check', { body });
    assert.deepEqual(JSON.parse(checked.text), { valid: false, faults: problem.faults });
  }));

test('a diff lists the keys that differ', () =>
  withServer(async (call) => {
    const body = TEST_TEXT.replace('tier = paying', 'tier = premium\npriority = 2');
    const answer = await call('POST', '/v1/configuration/diff', { body });
    assert.deepEqual(JSON.parse(answer.text), {
      generation: 1,
      changes: [
        { kind: 'added', key: 'service.counter.class.query.priority', after: '2' },
        {
          kind: 'changed',
          key: 'service.counter.class.query.tier',
          before: 'paying',
          after: 'premium',
        },
      ],
    });
  }));

test('restoring an old generation creates a new generation with its text', () =>
  withServer(async (call) => {
    const body = TEST_TEXT.replaceAll('paying', 'premium');
    const headers = { 'if-match': '"1"' };
    await call('PUT', '/v1/configuration', { key: CHANGE_KEY, body, headers });
    const restored = await call('POST', '/v1/configuration/history/1/restore', {
      key: CHANGE_KEY,
      headers: { 'if-match': '"2"' },
    });
    assert.equal(restored.headers.etag, '"3"');
    const entry = await call('GET', '/v1/configuration/history/3');
    assert.equal((JSON.parse(entry.text) as { text: string }).text, TEST_TEXT);
    expectProblem(await call('GET', '/v1/configuration/history/9'), ResultCode.UnknownTarget);
  }));

test('the status of a service depends on its upstreams and includes its attainment', () =>
  withServer(async (call, context) => {
    const traffic = { service: 'counter', className: 'query', workspace: 'rig-desk' };
    const answer = { firstTokenMs: 700, tokenIntervalMs: 40, durationMs: 900, tokens: 9 };
    context.metrics.recordAnswer({ ...traffic, ...answer, isAttained: true });
    context.metrics.recordFailure({ ...traffic, code: ResultCode.Overloaded });
    const drained = await call('PUT', '/v1/drains/upstream/d1', { key: CHANGE_KEY });
    assert.equal(drained.status, 200);
    const status = JSON.parse((await call('GET', '/v1/status')).text) as StatusView;
    assert.deepEqual(
      status.services.map(({ name, state }) => [name, state]),
      [
        ['booking', 'serving'],
        ['counter', 'degraded'],
      ],
    );
    const [query] = status.services[1]?.classes ?? [];
    assert.deepEqual(query?.attainment, { requests: 2, attained: 1, share: 0.5 });
    assert.equal(query.queued, 5);
    assert.match(status.services[1]?.reasons.join() ?? '', /e2 is lost/);
    assert.deepEqual(
      status.drains.map(({ scope, name, author }) => [scope, name, author]),
      [['upstream', 'd1', 'changer']],
    );
  }));

test('a service whose dependency is down is down too', () =>
  withServer(async (call, context) => {
    const states = context.listUpstreamStates();
    const lost = { ...states[1], upstream: 'd1' } as (typeof states)[number];
    Object.assign(context, { listUpstreamStates: () => [lost] });
    const status = JSON.parse((await call('GET', '/v1/status')).text) as StatusView;
    assert.deepEqual(
      status.services.map(({ state }) => state),
      ['down', 'down'],
    );
    assert.match(status.services[1]?.reasons.join() ?? '', /depends on booking, which is down/);
  }));

test('a drain with an unknown name is refused, and the error lists the known names', () =>
  withServer(async (call) => {
    const sendDrain = (path: string) => call('PUT', path, { key: CHANGE_KEY });
    const unknown = expectProblem(await sendDrain('/v1/drains/vm/vm-9'), ResultCode.UnknownTarget);
    assert.match(unknown.detail, /vm-1, vm-2/);
    expectProblem(await sendDrain('/v1/drains/rack/r1'), ResultCode.UnknownTarget);
    assert.equal((await sendDrain('/v1/drains/data_centre/hobart')).status, 200);
    const cleared = await call('DELETE', '/v1/drains/data_centre/hobart', { key: CHANGE_KEY });
    assert.equal(cleared.status, 200);
    assert.deepEqual(JSON.parse((await call('GET', '/v1/drains')).text), { drains: [] });
  }));

test('settling an order with an unknown outcome records the operator, reason and verdict', () =>
  withServer(async (call, context) => {
    const path = `/v1/orders/rig-desk/booking/${encodeURIComponent('bit 17/a')}`;
    const settle = (body: string) => call('POST', `${path}/settlement`, { key: SETTLE_KEY, body });
    expectProblem(await settle('{"verdict":"maybe","reason":"x"}'), ResultCode.InvalidField);
    expectProblem(await settle('{"verdict":"run"}'), ResultCode.InvalidField);
    expectProblem(await settle('{'), ResultCode.MalformedBody);
    const settled = await settle('{"verdict":"run","reason":"seen in the ledger"}');
    assert.match(settled.text, /"state":"done".*operator:settler.*seen in the ledger/);
    assert.match(context.logLines.join(''), /order settled.*"operator":"settler"/);
    expectProblem(await call('GET', '/v1/orders/a/b/c'), ResultCode.OrderNotFound);
    assert.deepEqual(JSON.parse((await call('GET', '/v1/orders?state=unknown')).text), {
      orders: [],
    });
  }));

test('the explanation of a request lists its decisions', () =>
  withServer(async (call, context) => {
    const trail = context.journal.start({
      requestId: 'r/1',
      workspace: 'w',
      traceId: undefined,
    });
    context.time.nowMs += 30;
    trail.record(DecisionKind.Refused, 'queue full', { code: ResultCode.QueueFull });
    trail.finish(ResultCode.QueueFull);
    const answer = await call('GET', '/v1/requests/r%2F1');
    assert.match(answer.text, /"after_ms":30,"kind":"refused","detail":"queue full"/);
    assert.match(answer.text, /Ended after 30 ms with QueueFull \(2002\)/);
    expectProblem(await call('GET', '/v1/requests/r2'), ResultCode.UnknownTarget);
    assert.match((await call('GET', '/v1/requests?limit=1')).text, /"request_id":"r\/1"/);
  }));

test('recent traces are served', () =>
  withServer(async (call, context) => {
    const tracing = startTracing({ vm: 'vm-1', dataCentre: 'hobart' });
    Object.assign(context, { traces: tracing.recent });
    const span = tracing.startSpan(Hop.Entry, { requestId: 'r1' });
    span.finish();
    const { traceId } = span.context;
    assert.match((await call('GET', '/v1/traces')).text, new RegExp(traceId));
    assert.match((await call('GET', `/v1/traces/${traceId}`)).text, /"request_id":"r1"/);
  }));

test('readyz reports whether the daemon is ready, livez succeeds in both cases', () =>
  withServer(async (call, context) => {
    assert.equal((await call('GET', '/readyz', { key: '' })).status, 200);
    Object.assign(context, { isReady: () => false });
    expectProblem(await call('GET', '/readyz', { key: '' }), ResultCode.NotReady);
    assert.equal((await call('GET', '/livez', { key: '' })).status, 200);
  }));

test('unknown paths, methods, queries and oversized bodies are refused', () =>
  withServer(async (call) => {
    expectProblem(await call('GET', '/v2/status'), ResultCode.UnknownPath);
    expectProblem(await call('GET', '/v1/requests/%ff'), ResultCode.UnknownPath);
    const wrong = await call('DELETE', '/v1/configuration');
    expectProblem(wrong, ResultCode.MethodNotAllowed);
    assert.equal(wrong.headers.allow, 'GET, PUT');
    expectProblem(await call('GET', '/v1/orders?limit=0'), ResultCode.InvalidField);
    expectProblem(await call('GET', '/v1/orders?limit=ten'), ResultCode.InvalidField);
    const body = 'x'.repeat(1_100_000);
    const large = await call('POST', '/v1/configuration/check', { body });
    expectProblem(large, ResultCode.BodyTooLarge);
  }));

test('an internal error is logged with its message, which the answer omits', () =>
  withServer(async (call, context) => {
    const listWithError = () => {
      throw new Error('secret detail');
    };
    Object.assign(context, { listUpstreamStates: listWithError });
    const answer = await call('GET', '/v1/upstreams');
    const problem = expectProblem(answer, ResultCode.Internal);
    assert.equal(problem.detail, 'Internal error.');
    assert.match(context.logLines.join(''), /"level":"error".*secret detail/);
  }));

/** Sends raw bytes over TCP and resolves when the connection is closed. */
const sendRaw = async (port: number, bytes: string): Promise<void> => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.resume();
  socket.end(bytes, 'latin1');
  await once(socket, 'close');
};

test('no input crashes the server', () =>
  withServer(async (call, _context, port) => {
    const paths = ['/v1/configuration', '/v1/orders/a/b/c', '/v1/drains/vm', '//', '*', '/%', '?'];
    const target = fc.oneof(
      fc.constantFrom(...paths),
      fc.webPath(),
      fc.string().map((text) => `/${encodeURIComponent(text)}`),
      fc.string({ unit: 'binary', maxLength: 20 }),
    );
    const line = fc.tuple(fc.constantFrom('GET', 'PUT', 'POST', 'DELETE', 'PATCH', 'X'), target);
    const name = fc.constantFrom('if-match', 'content-length', 'expect', 'transfer-encoding', 'x');
    const value = fc.oneof(
      fc.constantFrom('0', '-1', 'chunked', '"1"', '100-continue'),
      fc.string(),
    );
    const header = fc.tuple(name, value).map(([key, text]) => `${key}: ${text}`);
    const headers = fc.array(header, { maxLength: 4 });
    const property = fc.asyncProperty(line, headers, fc.string(), async (start, rest, body) => {
      const auth = `authorization: Bearer ${CHANGE_KEY}`;
      const head = [`${start.join(' ')} HTTP/1.1`, 'host: a', auth, ...rest].join('\r\n');
      await sendRaw(port, `${head}\r\n\r\n${body}`);
    });
    await fc.assert(property, { seed: 7, numRuns: 300 });
    assert.equal((await call('GET', '/livez')).status, 200);
  }));

test('no configuration text and no settlement body causes an internal error', () =>
  withServer(async (call) => {
    const lines = TEST_TEXT.split('\n');
    const text = fc
      .array(fc.oneof(fc.constantFrom(...lines, '[__proto__]', '[a.b.c.d]'), fc.string()), {
        maxLength: 12,
      })
      .map((parts) => parts.join('\n'));
    const paths = ['/v1/configuration/check', '/v1/configuration/diff'] as const;
    const order = '/v1/orders/rig-desk/booking/k/settlement';
    const json = fc.json();
    const property = fc.asyncProperty(text, json, async (body, settlement) => {
      for (const path of paths) {
        const { status } = await call('POST', path, { body });
        assert.ok(status === 200 || status === 422, `${path} answered ${status}`);
      }
      const { status } = await call('POST', order, { key: SETTLE_KEY, body: settlement });
      assert.ok(status < 500, `settlement answered ${status}`);
    });
    await fc.assert(property, { seed: 7, numRuns: 150 });
  }));
