import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import { test } from 'node:test';

import { startFaultProxy } from './startFaultProxy.js';
import { Direction } from './types.js';

import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';

/** Starts an echo server behind a fault proxy. */
const openEcho = async (context: TestContext) => {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const target = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const proxy = await startFaultProxy({ target, control: '127.0.0.1:0' });
  context.after(async () => {
    await proxy.stop();
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return proxy;
};

const openClient = async (context: TestContext, hostPort: string) => {
  const [host = '', port = ''] = hostPort.split(':');
  const socket = connect(Number(port), host);
  context.after(() => socket.destroy());
  let text = '';
  socket.on('data', (bytes: Buffer) => (text += bytes.toString()));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  const waitForText = async (wanted: string): Promise<void> => {
    while (text !== wanted) await once(socket, 'data');
  };
  return { socket, waitForText, getText: () => text };
};

const waitClosed = (socket: Socket): Promise<void> =>
  new Promise((resolve) => {
    if (socket.closed) resolve();
    else socket.once('close', () => resolve());
  });

test('bytes and the end of a connection are forwarded, and bytes are counted', async (context) => {
  const proxy = await openEcho(context);
  const client = await openClient(context, proxy.hostPort);
  client.socket.write('hello');
  await client.waitForText('hello');
  assert.deepEqual(proxy.getCounts(), { connections: 1, open: 1, bytesUp: 5, bytesDown: 5 });
  client.socket.end();
  await once(client.socket, 'close');
});

test('existing connections are muted while new ones work', async (context) => {
  const proxy = await openEcho(context);
  const old = await openClient(context, proxy.hostPort);
  old.socket.write('a');
  await old.waitForText('a');
  proxy.pauseExisting();
  old.socket.write('b');
  const fresh = await openClient(context, proxy.hostPort);
  fresh.socket.write('c');
  await fresh.waitForText('c');
  assert.equal(old.getText(), 'a');
  assert.equal(old.socket.readyState, 'open');
});

test('one direction is muted and unmuted through the control port', async (context) => {
  const proxy = await openEcho(context);
  const send = (body: unknown): Promise<Response> =>
    fetch(`${proxy.controlAddress ?? ''}/control`, { method: 'POST', body: JSON.stringify(body) });
  const client = await openClient(context, proxy.hostPort);
  assert.equal((await send({ down: { muted: true } })).status, 200);
  client.socket.write('a');
  while (proxy.getCounts().bytesUp === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  assert.equal(proxy.getCounts().bytesDown, 0);
  assert.equal((await send({ down: { muted: false, delay_ms: 5 } })).status, 200);
  await client.waitForText('a');
  assert.equal((await send({ sideways: true })).status, 400);
});

test('a throttled direction forwards all bytes in order', async (context) => {
  const proxy = await openEcho(context);
  proxy.setFaults({ [Direction.Up]: { bytesPerSecond: 2_000_000, delayMs: 2 } });
  const client = await openClient(context, proxy.hostPort);
  const sent = Array.from({ length: 60_000 }, (_, index) => String(index % 10)).join('');
  client.socket.write(sent);
  await client.waitForText(sent);
});

test('connections are closed, reset and refused', async (context) => {
  const proxy = await openEcho(context);
  for (const disturb of [proxy.cut, proxy.reset]) {
    const client = await openClient(context, proxy.hostPort);
    client.socket.write('a');
    await client.waitForText('a');
    disturb();
    await waitClosed(client.socket);
  }
  proxy.setFaults({ refusesNew: true });
  const refused = connect(Number(proxy.hostPort.split(':')[1]), '127.0.0.1');
  refused.on('error', () => undefined);
  await waitClosed(refused);
  assert.equal(proxy.getCounts().open, 0);
});
