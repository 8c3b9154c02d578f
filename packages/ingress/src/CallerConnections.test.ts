import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import { connect } from 'node:net';
import { test } from 'node:test';
import { connect as connectTls } from 'node:tls';

import { CallerConnections } from './CallerConnections.js';

import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';

const UNREAD_TIMEOUT_MS = 200;
const SWEEP_INTERVAL_MS = 20;
/** Part of a head, of which one fits into the memory in the test, if it counts eight times. */
const PARTIAL = 'x'.repeat(2_500);

const FIXTURES = new URL('../../fleet/src/access/fixtures/', import.meta.url);

const LARGE_ANSWER_BYTES = 32 * 1_024 * 1_024;

const openSocket = async (context: TestContext, server: Server): Promise<Socket> => {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
  context.after(() => socket.destroy());
  socket.on('error', () => undefined);
  await new Promise((resolve) => socket.once('connect', resolve));
  return socket;
};

const waitForClose = (socket: Socket): Promise<unknown> =>
  new Promise((resolve) => socket.once('close', resolve));

/** Starts a server whose `/late` requests are never answered. */
const startServer = async (
  context: TestContext,
  connections: CallerConnections,
): Promise<Server> => {
  const server = createServer((request, response) => {
    connections.addAnswer(response);
    if (request.url !== '/late') response.end('x'.repeat(LARGE_ANSWER_BYTES));
  });
  connections.attach(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return server;
};

// Guards against descriptors that run out.
test('a connection beyond the limit replaces the one that has waited longest, and none that is owed an answer', async (context) => {
  const connections = new CallerConnections({ maxConnections: 2 });
  const server = await startServer(context, connections);
  const busy = await openSocket(context, server);
  busy.write('GET /late HTTP/1.1\r\nhost: a\r\n\r\n');
  const waiting = await openSocket(context, server);
  waiting.resume();
  const closed = waitForClose(waiting);
  const next = await openSocket(context, server);
  await closed;
  assert.deepEqual([busy.destroyed, next.destroyed, connections.count], [false, false, 2]);
});

// Guards against answers that are held as long as their callers stay connected.
test('a connection whose answer makes no progress is closed', async (context) => {
  const connections = new CallerConnections({ unreadTimeoutMs: UNREAD_TIMEOUT_MS });
  const server = await startServer(context, connections);
  const socket = await openSocket(context, server);
  socket.pause();
  const closed = new Promise((resolve) =>
    server.once('request', (request) => request.socket.once('close', resolve)),
  );
  socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  const timer = setInterval(() => connections.sweep(), SWEEP_INTERVAL_MS);
  context.after(() => clearInterval(timer));
  await closed;
  assert.equal(connections.count, 0);
});

// Guards against heads that come in pieces and together need more memory than the machine has.
test('the connections that have waited longest for the rest of a head are closed beyond the memory for them', async (context) => {
  const connections = new CallerConnections({ partialHeadBytes: 30_000 });
  const server = await startServer(context, connections);
  const sockets: Socket[] = [];
  for (let count = 0; count < 3; count += 1) {
    const socket = await openSocket(context, server);
    const received = new Promise((resolve) =>
      socket.write(`GET / HTTP/1.1\r\nx: ${PARTIAL}`, resolve),
    );
    sockets.push(socket.resume());
    await received;
  }
  const timer = setInterval(() => connections.sweep(), SWEEP_INTERVAL_MS);
  context.after(() => clearInterval(timer));
  await Promise.all(sockets.slice(0, 2).map(waitForClose));
  assert.equal(connections.count, 1);
});

// A handshake counted as a connection on which no answer is owed, and the connection itself as another one.
test('a connection over TLS counts once, and is not replaced while an answer is owed on it', async (context) => {
  const connections = new CallerConnections({ maxConnections: 2 });
  const [cert, key] = ['first.pem', 'first.key'].map((name) =>
    readFileSync(new URL(name, FIXTURES)),
  );
  const server = createTlsServer({ cert, key }, (_request, response) => {
    connections.addAnswer(response);
  });
  connections.attach(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  const { port } = server.address() as AddressInfo;
  const open = async (): Promise<Socket> => {
    const socket = connectTls({ port, host: '127.0.0.1', rejectUnauthorized: false });
    context.after(() => socket.destroy());
    socket.on('error', () => undefined);
    await new Promise((resolve) => socket.once('secureConnect', resolve));
    return socket;
  };
  const busy = await open();
  const requested = new Promise((resolve) => server.once('request', resolve));
  busy.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  await requested;
  assert.equal(connections.count, 1);
  const waiting = (await open()).resume();
  const closed = waitForClose(waiting);
  await open();
  await closed;
  assert.deepEqual([busy.destroyed, connections.count], [false, 2]);
});
