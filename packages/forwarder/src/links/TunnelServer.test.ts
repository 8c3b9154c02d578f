import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';

import { startTestWorkers } from '../testing/index.js';
import { isReset } from './isReset.js';
import { TunnelServer } from './TunnelServer.js';

import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import type { TunnelServerOptions } from './TunnelServer.js';

const ALLOWED: TunnelServerOptions = {
  isAvailable: () => true,
  isDraining: () => false,
  isKnownVm: () => true,
  isUsableWorker: () => true,
  onUnreachable: () => undefined,
  onBroken: () => undefined,
};

/** Starts a VM that passes on tunnels; returns its port. */
const startVm = async (
  context: TestContext,
  options: Partial<TunnelServerOptions> = {},
): Promise<number> => {
  const tunnelServer = new TunnelServer({ ...ALLOWED, ...options });
  const server = createServer().on('connect', tunnelServer.handleConnect);
  context.after(() => {
    server.close();
    tunnelServer.close();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return (server.address() as AddressInfo).port;
};

/** Asks for a tunnel and returns the status code of the answer. */
const askForTunnel = async (
  context: TestContext,
  options: Partial<TunnelServerOptions>,
  target?: string,
  headers = '',
): Promise<number> => {
  const [worker] = await startTestWorkers(context, [(socket) => socket.end()]);
  const port = await startVm(context, options);
  const address = target ?? worker?.address ?? '';
  const text = await new Promise<string>((resolve, reject) => {
    const socket = connect(port, '127.0.0.1');
    socket.write(`CONNECT ${address} HTTP/1.1\r\nhost: ${address}\r\n${headers}\r\n`);
    socket.once('error', reject);
    socket.once('data', (chunk: Buffer) => {
      socket.destroy();
      resolve(chunk.toString());
    });
  });
  return Number(text.split(' ')[1]);
};

test('a tunnel to a registered worker is opened', async (context) => {
  assert.equal(await askForTunnel(context, {}), 200);
});

test('a tunnel is refused to an unknown VM, to an unknown worker, and while the VM is not available', async (context) => {
  assert.equal(await askForTunnel(context, { isKnownVm: () => false }), 403);
  assert.equal(await askForTunnel(context, { isUsableWorker: () => false }), 404);
  assert.equal(await askForTunnel(context, { isAvailable: () => false }), 503);
});

test('a VM that drains opens a tunnel only as the last resort', async (context) => {
  const isDraining = (): boolean => true;
  assert.equal(await askForTunnel(context, { isDraining }), 409);
  assert.equal(
    await askForTunnel(context, { isDraining }, undefined, 'tunnel-last-resort: 1\r\n'),
    200,
  );
});

test('a tunnel to a worker that refuses connections is refused', async (context) => {
  assert.equal(await askForTunnel(context, {}, '127.0.0.1:1'), 502);
});

// Guards against a VM that goes on taking tunnels after its own links were lost.
test('a VM that cannot reach a worker for another one checks its own links', async (context) => {
  let checks = 0;
  const onUnreachable = (): void => void (checks += 1);
  assert.equal(await askForTunnel(context, { onUnreachable }, '127.0.0.1:1'), 502);
  assert.equal(checks, 1);
});

// Guards against half an answer that looks whole at a VM of an older build, which knows no frames.
test('a VM that asks for no frames gets bare bytes, and a reset where the worker has reset', async (context) => {
  const [worker] = await startTestWorkers(context, [
    (socket) => socket.write('half', () => socket.resetAndDestroy()),
  ]);
  const socket = connect(await startVm(context), '127.0.0.1');
  const address = worker?.address ?? '';
  socket.write(`CONNECT ${address} HTTP/1.1\r\nhost: ${address}\r\n\r\n`);
  socket.once('data', () => socket.write('GET / HTTP/1.1\r\n\r\n'));
  let text = '';
  let wasReset = false;
  socket.on('data', (chunk: Buffer) => (text += chunk.toString()));
  socket.on('error', () => (wasReset = true));
  socket.on('end', () => (wasReset ||= isReset(socket)));
  await new Promise((resolve) => socket.once('close', resolve));
  assert.equal(wasReset, true);
  assert.ok('HTTP/1.1 200 opened\r\n\r\nhalf'.startsWith(text), text);
});

// Guards against a tunnel that breaks off without a trace in the logs of the VM that passes it on.
test('a tunnel whose worker resets its connection is reported with the address of the worker', async (context) => {
  const [worker] = await startTestWorkers(context, [
    (socket) => socket.write('half', () => socket.resetAndDestroy()),
  ]);
  const address = worker?.address ?? '';
  const broken: string[] = [];
  const onBroken = (brokenAddress: string): void => void broken.push(brokenAddress);
  const socket = connect(await startVm(context, { onBroken }), '127.0.0.1');
  socket.write(`CONNECT ${address} HTTP/1.1\r\nhost: ${address}\r\ntunnel-frames: 1\r\n\r\n`);
  socket.once('data', () => socket.write('GET / HTTP/1.1\r\n\r\n'));
  socket.on('error', () => undefined);
  await new Promise((resolve) => socket.resume().once('close', resolve));
  assert.deepEqual(broken, [address]);
});
