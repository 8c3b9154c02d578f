import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import {
  createLogger,
  createMetrics,
  LogFormat,
  LogLevel,
  ResultCode,
  startTracing,
  SYSTEM_CLOCK,
} from '@sardinegrade/common';
import { hashKey, parseConfiguration } from '@sardinegrade/fleet';
import { deriveClientLimits, Ingress } from '@sardinegrade/ingress';
import { Client } from 'undici';

import { createRequestJournal } from '../administration/index.js';
import { listenOn } from '../daemon/addresses.js';
import { CallerServer } from './CallerServer.js';
import { readBody } from './readBody.js';
import { ErrorFormat } from './types.js';

import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { Dispatcher } from 'undici';
import type { CallerRoute } from './types.js';

const KEY = 'a-key';
const BODY_LIMIT_BYTES = 1_024;

const ROUTE: CallerRoute = {
  pattern: /^\/echo$/,
  methods: ['POST'],
  errorFormat: ErrorFormat.OpenAi,
  serve: async (caller) => {
    const { response, workspace } = caller;
    const body = await readBody({ ...caller, workspace: workspace.name }, BODY_LIMIT_BYTES);
    response.end(`${workspace.name} ${body.length}`);
  },
};

/** Size of an answer that no socket buffers completely, in bytes. */
const LARGE_ANSWER_BYTES = 12 * 1_024 * 1_024;

const LARGE_ROUTE: CallerRoute = {
  ...ROUTE,
  pattern: /^\/large$/,
  serve: ({ response }) => {
    response.end('x'.repeat(LARGE_ANSWER_BYTES));
    return Promise.resolve();
  },
};

const SLOW_MS = 200;

const SLOW_ROUTE: CallerRoute = {
  ...ROUTE,
  pattern: /^\/slow$/,
  serve: async ({ response }) => {
    await sleep(SLOW_MS);
    response.end('done');
  },
};

const startCallerServer = (): CallerServer => {
  const configuration = parseConfiguration(`[workspace.desk]\nkey_sha256[] = ${hashKey(KEY)}\n`, 1);
  return new CallerServer({
    clock: SYSTEM_CLOCK,
    tracing: startTracing({ vm: 'vm-1', dataCentre: 'dc-a' }),
    logger: createLogger({ level: LogLevel.Error, format: LogFormat.Text }),
    routes: [ROUTE, LARGE_ROUTE, SLOW_ROUTE],
    serveUnauthenticatedPath: () => false,
    getConfiguration: () => configuration,
    certificate: undefined,
    metrics: createMetrics(),
    journal: createRequestJournal(SYSTEM_CLOCK),
    ingress: new Ingress(deriveClientLimits({})),
  });
};

const startServer = async (context: TestContext): Promise<Client> => {
  const { server } = startCallerServer();
  const client = new Client(`http://${await listenOn(server, '127.0.0.1:0')}`);
  context.after(async () => {
    await client.destroy();
    server.closeAllConnections();
    server.close();
  });
  return client;
};

const send = async (client: Client, overrides: Partial<Dispatcher.RequestOptions>) => {
  const { statusCode, headers, body } = await client.request({
    method: 'POST',
    path: '/echo',
    headers: { authorization: `Bearer ${KEY}` },
    ...overrides,
  });
  const text = await body.text();
  const error =
    statusCode < 300
      ? undefined
      : (JSON.parse(text) as { error: { code: ResultCode; run: string } }).error;
  return { statusCode, headers, text, error };
};

const generateBody = async function* (chunks: number) {
  for (let chunk = 0; chunk < chunks; chunk += 1) {
    await Promise.resolve();
    yield Buffer.alloc(16_384, 'x');
  }
};

test('a chunked body that exceeds the limit gets an error response, not a closed connection', async (context) => {
  const client = await startServer(context);
  for (let round = 0; round < 20; round += 1) {
    const { statusCode, error } = await send(client, { body: generateBody(256) as never });
    assert.equal(statusCode, 413);
    assert.deepEqual([error?.code, error?.run], [ResultCode.BodyTooLarge, 'not_run']);
  }
  assert.equal((await send(client, { body: 'small' })).text, 'desk 5');
});

test('each kind of invalid request has its own status and result code', async (context) => {
  const client = await startServer(context);
  const cases: readonly [Partial<Dispatcher.RequestOptions>, number, ResultCode][] = [
    [{ headers: {} }, 401, ResultCode.MissingKey],
    [{ headers: { authorization: 'Basic abc' } }, 401, ResultCode.MissingKey],
    [{ headers: { authorization: 'Bearer wrong' } }, 401, ResultCode.InvalidKey],
    [{ method: 'GET' }, 405, ResultCode.MethodNotAllowed],
    [{ path: '/nowhere' }, 404, ResultCode.UnknownPath],
  ];
  for (const [overrides, status, code] of cases) {
    const { statusCode, error } = await send(client, overrides);
    assert.deepEqual([statusCode, error?.code, error?.run], [status, code, 'not_run']);
  }
});

test('a valid request id is echoed and an invalid one is replaced', async (context) => {
  const client = await startServer(context);
  const sendId = async (id: string) => {
    const headers = { authorization: `Bearer ${KEY}`, 'x-request-id': id };
    return (await send(client, { headers, body: 'x' })).headers['x-request-id'];
  };
  assert.equal(await sendId('r-17'), 'r-17');
  for (const id of ['', 'with space', 'x'.repeat(200)]) assert.notEqual(await sendId(id), id);
});

const WAIT_LIMIT_MS = 4_000;

const waitUntil = async (description: string, check: () => boolean): Promise<void> => {
  const deadlineAtMs = performance.now() + WAIT_LIMIT_MS;
  while (!check()) {
    assert.ok(performance.now() < deadlineAtMs, `timed out waiting until ${description}`);
    await sleep(5);
  }
};

interface RawCaller {
  readonly callerServer: CallerServer;
  readonly socket: Socket;
  readonly readText: () => string;
}

const openRawCaller = async (context: TestContext): Promise<RawCaller> => {
  const callerServer = startCallerServer();
  const { server } = callerServer;
  await listenOn(server, '127.0.0.1:0');
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  context.after(() => {
    socket.destroy();
    server.closeAllConnections();
    server.close();
  });
  let text = '';
  socket.on('data', (chunk: Buffer) => (text += chunk.toString('latin1')));
  socket.on('error', () => undefined);
  return { callerServer, socket, readText: () => text };
};

const formatRequest = (path: string): string =>
  `POST ${path} HTTP/1.1\r\nhost: desk\r\nauthorization: Bearer ${KEY}\r\ncontent-length: 0\r\n\r\n`;

test('an answer that has ended is not cut at a slow caller when idle connections are closed', async (context) => {
  const { callerServer, socket, readText } = await openRawCaller(context);
  socket.write(formatRequest('/large'));
  await waitUntil('the answer begins', () => {
    if (readText() === '') return false;
    socket.pause();
    return true;
  });
  callerServer.server.close();
  await sleep(SLOW_MS);
  socket.resume();
  await waitUntil('the answer is whole or cut', () => {
    const isWhole = readText().length > LARGE_ANSWER_BYTES;
    return isWhole || socket.destroyed;
  });
  assert.equal(readText().split('\r\n\r\n')[1]?.length, LARGE_ANSWER_BYTES);
});

test('a request is answered although malformed bytes follow it', async (context) => {
  const { socket, readText } = await openRawCaller(context);
  socket.write(`${formatRequest('/slow')}no request\r\n\r\n`);
  await waitUntil('the connection is closed', () => socket.destroyed);
  assert.match(readText(), /^HTTP\/1\.1 200 OK.*done.*HTTP\/1\.1 400 /s);
});

// A shutdown waits until no request is open.
test('a request that is pipelined behind another one is not open once the caller has closed', async (context) => {
  const { callerServer, socket } = await openRawCaller(context);
  socket.write(formatRequest('/slow') + formatRequest('/slow'));
  await waitUntil('both are open', () => callerServer.countOpen() === 2);
  socket.destroy();
  await waitUntil('none is open', () => callerServer.countOpen() === 0);
});

// Node drops the lines of a head beyond a number of them without a sign, and with them the length of a body.
test('a request with over a thousand lines in its head is served with its key and its body', async (context) => {
  const { socket, readText } = await openRawCaller(context);
  const lines = Array.from({ length: 1_200 }, (_, line) => `l${line.toString(36)}: 1\r\n`);
  const fields = `host: desk\r\n${lines.join('')}authorization: Bearer ${KEY}\r\n`;
  socket.write(`POST /echo HTTP/1.1\r\n${fields}content-length: 5\r\n\r\nwhole`);
  await waitUntil('the request is answered', () => readText().includes('desk'));
  assert.match(readText(), /^HTTP\/1\.1 200 OK.*desk 5/s);
});
