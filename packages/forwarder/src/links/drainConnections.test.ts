import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';

import { startTestWorkers } from '../testing/index.js';
import { DRAIN_CHECK_INTERVAL_MS, NO_TUNNELS_BEFORE_END_MS } from './constants.js';
import { drainConnections } from './drainConnections.js';
import { TunnelServer } from './TunnelServer.js';

import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';

interface Tunnel {
  readonly status: number;
  readonly socket: Socket;
}

/** A draining VM, and a way to ask it for tunnels as the last resort. */
interface DrainingVm {
  readonly server: TunnelServer;
  readonly open: () => Promise<Tunnel>;
}

const startDrainingVm = async (context: TestContext): Promise<DrainingVm> => {
  const [worker] = await startTestWorkers(context, [() => undefined]);
  const server = new TunnelServer({
    isAvailable: () => true,
    isDraining: () => true,
    isKnownVm: () => true,
    isUsableWorker: () => true,
    onUnreachable: () => undefined,
    onBroken: () => undefined,
  });
  const peerServer = createServer().on('connect', server.handleConnect);
  context.after(() => {
    peerServer.close();
    server.close();
  });
  await new Promise<void>((resolve) => peerServer.listen(0, '127.0.0.1', resolve));
  const { port } = peerServer.address() as AddressInfo;
  const open = (): Promise<Tunnel> =>
    new Promise((resolve, reject) => {
      const socket = connect(port, '127.0.0.1');
      socket.write(
        `CONNECT ${worker?.address ?? ''} HTTP/1.1\r\nhost: x\r\ntunnel-last-resort: 1\r\n\r\n`,
      );
      socket.once('error', reject);
      socket.once('data', (chunk: Buffer) =>
        resolve({ status: Number(chunk.toString().split(' ')[1]), socket }),
      );
    });
  return { server, open };
};

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, durationMs));

const LONG_MS = 30_000;

// Failure: a VM that waited for its last requests for seconds refused tunnels, although it was the only one with links.
test('a VM passes on while it waits for its own requests, and then waits for the tunnels that are open', async (context) => {
  const { server, open } = await startDrainingVm(context);
  const front = { openExchanges: 1 };
  let hasEnded = false;
  const drained = drainConnections(front, server, performance.now() + LONG_MS);
  void drained.then(() => (hasEnded = true));
  await sleep(2 * DRAIN_CHECK_INTERVAL_MS);
  const tunnel = await open();
  assert.equal(tunnel.status, 200);
  front.openExchanges = 0;
  await sleep(3 * DRAIN_CHECK_INTERVAL_MS);
  assert.equal((await open()).status, 503);
  assert.equal(hasEnded, false);
  tunnel.socket.destroy();
  await drained;
});

test('tunnels that a VM passes on while it drains do not make it wait for further ones', async (context) => {
  const { server, open } = await startDrainingVm(context);
  const earlier = await open();
  const drained = drainConnections({ openExchanges: 0 }, server, performance.now() + LONG_MS);
  const later = await open();
  assert.equal(later.status, 200);
  earlier.socket.destroy();
  await sleep(3 * DRAIN_CHECK_INTERVAL_MS);
  assert.equal((await open()).status, 503);
  later.socket.destroy();
  await drained;
});

test('a VM that waits until its deadline passes on nothing shortly before it', async (context) => {
  const { server, open } = await startDrainingVm(context);
  const deadlineAtMs = performance.now() + NO_TUNNELS_BEFORE_END_MS + 4 * DRAIN_CHECK_INTERVAL_MS;
  const drained = drainConnections({ openExchanges: 1 }, server, deadlineAtMs);
  const first = await open();
  assert.equal(first.status, 200);
  await sleep(8 * DRAIN_CHECK_INTERVAL_MS);
  assert.equal((await open()).status, 503);
  await drained;
  assert.ok(performance.now() >= deadlineAtMs);
  first.socket.destroy();
});
