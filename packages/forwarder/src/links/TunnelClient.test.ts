import assert from 'node:assert/strict';
import { createServer } from 'node:http';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { UNUSABLE_MS } from './constants.js';
import { TunnelOutcome } from './enums.js';
import { TunnelClient } from './TunnelClient.js';

import type { Peer } from '@sardinegrade/routing';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';

const DRAINING_STATUS = 409;

/** Answers each request for a tunnel with a status code; a draining VM opens it if it is asked as the last resort. */
const startServer = async (context: TestContext, status: number, port = 0): Promise<Server> => {
  const server = createServer().on('connect', (request, stream) => {
    stream.on('error', () => stream.destroy());
    const isLastResort = request.headers['tunnel-last-resort'] === '1';
    const answered = status === DRAINING_STATUS && isLastResort ? 200 : status;
    stream.write(`HTTP/1.1 ${answered} test\r\n\r\n`);
  });
  context.after(() => server.close());
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  return server;
};

const getPort = (server: Server): number => (server.address() as AddressInfo).port;

const buildPeer = (name: string, port: number): Peer => ({
  vm: toBranded(name),
  dataCentre: toBranded('dc'),
  address: { host: '127.0.0.1', port },
});

const startPeer = async (context: TestContext, name: string, status: number): Promise<Peer> =>
  buildPeer(name, getPort(await startServer(context, status)));

/** Asks VMs in the order of their status codes, and lists the outcomes. */
const askPeers = async (
  context: TestContext,
  statuses: readonly number[],
): Promise<readonly TunnelOutcome[]> => {
  const outcomes: TunnelOutcome[] = [];
  let asked = 0;
  const client = new TunnelClient({
    dataCentre: toBranded('dc'),
    // The first VM of those that are left has the lowest cost.
    random: () => (asked += 1),
    getNowMs: () => 0,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  const peers = statuses.map((status, index) => startPeer(context, `vm-${index}`, status));
  client.setPeers('127.0.0.1', await Promise.all(peers));
  const tunnel = await client.open('127.0.0.1:9').catch(() => undefined);
  tunnel?.socket.destroy();
  return outcomes;
};

test('another VM is asked if one cannot reach the worker: its own links may be lost', async (context) => {
  const outcomes = await askPeers(context, [502, 200]);
  assert.deepEqual(outcomes, [TunnelOutcome.Unreachable, TunnelOutcome.Opened]);
});

test('no further VM is asked if two cannot reach the worker', async (context) => {
  const outcomes = await askPeers(context, [502, 502, 200]);
  assert.deepEqual(outcomes, [TunnelOutcome.Unreachable, TunnelOutcome.Unreachable]);
});

test('a VM that drains is asked again once no other one opens a tunnel', async (context) => {
  const outcomes = await askPeers(context, [DRAINING_STATUS, 503]);
  const { Draining, Unavailable, Opened } = TunnelOutcome;
  assert.deepEqual(outcomes, [Draining, Unavailable, Opened]);
});

test('no VM that drains passes on a tunnel that another one opens', async (context) => {
  const outcomes = await askPeers(context, [DRAINING_STATUS, 200]);
  assert.deepEqual(outcomes, [TunnelOutcome.Draining, TunnelOutcome.Opened]);
});

// Failure: a VM that had been down was not asked for two seconds, although it was the only one with links.
test('a VM that refused connections is asked again at once if no other one is left', async (context) => {
  const outcomes: TunnelOutcome[] = [];
  const client = new TunnelClient({
    dataCentre: toBranded('dc'),
    random: () => 0,
    getNowMs: () => 0,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  const down = await startServer(context, 200);
  const port = getPort(down);
  await new Promise((resolve) => down.close(resolve));
  client.setPeers('127.0.0.1', [buildPeer('vm-0', port)]);
  await assert.rejects(client.open('127.0.0.1:9'));
  await startServer(context, 200, port);
  const tunnel = await client.open('127.0.0.1:9');
  tunnel.socket.destroy();
  assert.deepEqual(outcomes, [TunnelOutcome.NoAnswer, TunnelOutcome.Opened]);
});

/** Starts a VM that opens tunnels, except that it does not answer the second request. */
const startBusyPeer = async (context: TestContext): Promise<Peer> => {
  let requests = 0;
  const server = createServer().on('connect', (_request, stream) => {
    stream.on('error', () => stream.destroy());
    requests += 1;
    if (requests !== 2) stream.write('HTTP/1.1 200 test\r\n\r\n');
  });
  context.after(() => server.close());
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return buildPeer('vm-0', getPort(server));
};

// Failure: after one slow answer the only VM with links was not asked for two seconds, and callers were refused.
test('a VM that has just opened tunnels is asked again after a silence if no other one is left', async (context) => {
  const outcomes: TunnelOutcome[] = [];
  let nowMs = 0;
  const client = new TunnelClient({
    dataCentre: toBranded('dc'),
    random: () => 0,
    getNowMs: () => nowMs,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  client.setPeers('127.0.0.1', [await startBusyPeer(context)]);
  const open = async (): Promise<void> => {
    (await client.open('127.0.0.1:9')).socket.destroy();
  };
  await open();
  await assert.rejects(open());
  nowMs = UNUSABLE_MS - 1;
  await open();
  assert.deepEqual(outcomes, [TunnelOutcome.Opened, TunnelOutcome.NoAnswer, TunnelOutcome.Opened]);
});

test('a VM that has not opened tunnels of late is not asked for a time after a silence', async (context) => {
  const outcomes: TunnelOutcome[] = [];
  let nowMs = 0;
  const client = new TunnelClient({
    dataCentre: toBranded('dc'),
    random: () => 0,
    getNowMs: () => nowMs,
    onOutcome: (outcome) => outcomes.push(outcome),
  });
  client.setPeers('127.0.0.1', [await startBusyPeer(context)]);
  (await client.open('127.0.0.1:9')).socket.destroy();
  nowMs = UNUSABLE_MS;
  await assert.rejects(client.open('127.0.0.1:9'));
  await assert.rejects(client.open('127.0.0.1:9'));
  assert.deepEqual(outcomes, [TunnelOutcome.Opened, TunnelOutcome.NoAnswer]);
});
