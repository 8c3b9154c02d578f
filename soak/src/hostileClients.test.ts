import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { createServer, request as sendHttp } from 'node:http';
import { connect } from 'node:net';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { buildLoopbackHost } from '@sardinegrade/common/testing';
import {
  buildSiteConfiguration,
  registerWorker,
  StoreStandIn,
  TestWorker,
  waitUntil,
} from '@sardinegrade/users-platform/testing';

import { startSoakVm } from './startSoakVm.js';

import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';
import type { SoakVm } from './SoakVm.js';

/** Limits of the smallest VM that the design page names (hard-load.md). */
const MEMORY_MB = 210;
const MAX_FDS = 2_212;

const BYTES_PER_MB = 1_000_000;
const BYTES_PER_KB = 1_024;

/** Time in which the clients write, and in which they then stay connected, in milliseconds. */
const WRITE_MS = 8_000;
const HOLD_MS = 2_000;

const SAMPLE_INTERVAL_MS = 50;
const ROUTE_TIMEOUT_MS = 10_000;
const START_LIMIT_MS = 15_000;
const ANSWER_LIMIT_MS = 20_000;

const IP = buildLoopbackHost(10, 0);
const PORTS = { front: 21_200, ready: 21_201, peers: 21_202 };

/** Size of the plain answers that are not read, in bytes. */
const UNREAD_ANSWER_BYTES = 6_000_000;

const BLOCK_BYTES = 64 * 1_024;
const FILLER = 'x'.repeat(BLOCK_BYTES);

/** Clients that each write a start, then a block repeatedly up to a number of bytes, and read nothing. */
interface HostileCrowd {
  readonly clients: number;
  readonly start: string;
  readonly block: string;
  /** Number of bytes after the start. */
  readonly bytes: number;
}

const formatHead = (path: string, fields: string): string =>
  `POST ${path} HTTP/1.1\r\nHost: desk.example\r\nX-Key: k1\r\nX-Request-Id: hostile\r\n${fields}`;

const CHUNKED = formatHead('/plain/', 'Transfer-Encoding: chunked\r\n\r\n');
const EMPTY = 'Content-Length: 0\r\n\r\n';

const CROWDS: Readonly<Record<string, HostileCrowd>> = {
  'unfinished bodies in one-byte chunks': {
    clients: 100,
    start: CHUNKED,
    block: '1\r\nx\r\n'.repeat(10_000),
    bytes: 6_000_000,
  },
  'unfinished bodies in large chunks': {
    clients: 100,
    start: CHUNKED,
    block: `10000\r\n${FILLER}\r\n`,
    bytes: 4_100_000,
  },
  'unfinished small bodies in great number': {
    clients: 2_500,
    start: CHUNKED,
    block: `ea60\r\n${FILLER.slice(0, 60_000)}\r\n`,
    bytes: 60_000,
  },
  'bodies without end': {
    clients: 50,
    start: CHUNKED,
    block: `10000\r\n${FILLER}\r\n`,
    bytes: 100_000_000,
  },
  'declared lengths that never arrive': {
    clients: 2_500,
    start: formatHead('/plain/', 'Content-Length: 4194304\r\n\r\n'),
    block: FILLER,
    bytes: 1_000,
  },
  'incomplete request heads': {
    clients: 3_000,
    start: formatHead('/plain/', ''),
    block: `X-Filler: ${'x'.repeat(1_000)}\r\n`,
    bytes: 15_000,
  },
  'plain answers that nobody reads': {
    clients: 100,
    start: formatHead('/large/', EMPTY),
    block: '',
    bytes: 0,
  },
  'streams that nobody reads': {
    clients: 200,
    start: formatHead('/stream/', EMPTY),
    block: '',
    bytes: 0,
  },
  'many requests on a connection whose answers nobody reads': {
    clients: 100,
    start: '',
    block: formatHead('/plain/', EMPTY),
    bytes: 2_000_000,
  },
  'trailers without end': {
    clients: 100,
    start: `${CHUNKED}1\r\nx\r\n0\r\n`,
    block: 'X-Filler: x\r\n'.repeat(4_000),
    bytes: 20_000_000,
  },
};

/** A worker whose plain answers are large and whose streams have no end. */
const startLargeWorker = async (context: TestContext): Promise<string> => {
  const body = 'x'.repeat(UNREAD_ANSWER_BYTES);
  const event = `data: ${FILLER}\n\n`;
  const server = createServer((request, response) => {
    response.on('error', () => undefined);
    request.resume();
    const seal = {
      'X-Request-Id': request.headers['x-request-id'] ?? '',
      'X-Response-Seal': 's',
    };
    if (request.url?.startsWith('/large/') === true) {
      response.writeHead(200, { ...seal, 'Content-Length': body.length });
      response.end(body);
      return;
    }
    response.writeHead(200, { ...seal, 'Content-Type': 'text/event-stream' });
    const writeOn = (): void => {
      if (response.destroyed) return;
      if (response.write(event)) setImmediate(writeOn);
      else response.once('drain', writeOn);
    };
    writeOn();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/** Sends an ordinary request; returns the status of the answer, 0 without one. */
const callOrdinary = (): Promise<number> =>
  new Promise((resolve) => {
    const headers = { host: 'desk.example', 'X-Key': 'k1', 'X-Request-Id': 'ordinary' };
    const options = { host: IP, port: PORTS.front, path: '/plain/', agent: false, headers };
    const request = sendHttp(options, (response) => {
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () => resolve(response.complete ? (response.statusCode ?? 0) : 0));
    });
    request.setTimeout(ROUTE_TIMEOUT_MS, () => request.destroy());
    request.on('error', () => resolve(0));
    request.end();
  });

const startVm = async (context: TestContext): Promise<SoakVm> => {
  execFileSync(process.execPath, ['tools/bundleRole.js']);
  const store = new StoreStandIn();
  const worker = new TestWorker('w0');
  await Promise.all([store.listen(), worker.listen()]);
  const largeAddress = await startLargeWorker(context);
  context.after(() => {
    worker.close();
    store.close();
  });
  const base = buildSiteConfiguration(1, ['k1']);
  const [route] = base.routes;
  const buildRoute = (name: string, kind: string, service: string): object => ({
    ...route,
    name,
    path_prefix: `/${name}/`,
    kind,
    service,
    timeout_ms: ROUTE_TIMEOUT_MS,
    gap_aim_ms: 200,
  });
  store.write('config', 'main', {
    ...base,
    routes: [
      buildRoute('plain', 'safe', 'desk'),
      buildRoute('large', 'safe', 'large'),
      buildRoute('stream', 'streaming', 'large'),
    ],
    services: ['desk', 'large'].map((name) => ({ ...base.services[0], name, max_conns: 1_000 })),
  });
  registerWorker(store, { id: 'w0', address: worker.address, slots: 1_000 });
  registerWorker(store, { id: 'w1', address: largeAddress, service: 'large', slots: 1_000 });
  const limits = { memory_mb: MEMORY_MB, max_fds: MAX_FDS };
  const vm = startSoakVm(context, {
    name: 'vm-hostile',
    ip: IP,
    ports: PORTS,
    storePort: store.port,
    limits,
  });
  await waitUntil('the VM serves', START_LIMIT_MS, async () => (await callOrdinary()) === 200);
  return vm;
};

/** Opens a client, which writes until its bytes are written, its connection has closed or the test ends it. */
const openClient = ({ start, block, bytes }: HostileCrowd): Socket => {
  const socket = connect(PORTS.front, IP);
  socket.on('error', () => socket.destroy());
  socket.pause();
  let left = bytes;
  const writeOn = (): void => {
    while (left > 0 && !socket.destroyed) {
      const part = block.slice(0, left);
      left -= part.length;
      if (socket.write(part)) continue;
      socket.once('drain', writeOn);
      return;
    }
  };
  socket.once('connect', () => {
    if (start !== '') socket.write(start);
    writeOn();
  });
  return socket;
};

const countDescriptors = (pid: number | undefined): number => {
  try {
    return readdirSync(`/proc/${pid ?? 0}/fd`).length;
  } catch {
    return 0;
  }
};

const readMemoryBytes = (pid: number | undefined, name: 'VmHWM' | 'VmRSS'): number => {
  const status = readFileSync(`/proc/${pid ?? 0}/status`, 'utf8');
  return Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(status)?.[1]) * BYTES_PER_KB;
};

const toMegabytes = (bytes: number): string => `${(bytes / BYTES_PER_MB).toFixed(1)} MB`;

// Guards against a process that is killed for its memory, or that runs out of descriptors, by what its clients do. One after
// the other, each with a process of its own, whose peak is then that of one kind of client.
for (const [name, crowd] of Object.entries(CROWDS)) {
  test(`a VM stays within its memory and descriptors and serves: ${name}`, async (context) => {
    const vm = await startVm(context);
    const { pid } = vm;
    const restBytes = readMemoryBytes(pid, 'VmRSS');
    let peakDescriptors = 0;
    const recordDescriptors = (): void => {
      peakDescriptors = Math.max(peakDescriptors, countDescriptors(pid));
    };
    const timer = setInterval(recordDescriptors, SAMPLE_INTERVAL_MS);
    context.after(() => clearInterval(timer));
    const clients = Array.from({ length: crowd.clients }, () => openClient(crowd));
    context.after(() => {
      for (const client of clients) client.destroy();
    });
    await sleep(WRITE_MS + HOLD_MS);
    for (const client of clients) client.destroy();
    const isServed = async (): Promise<boolean> => (await callOrdinary()) === 200;
    await waitUntil('an ordinary request is answered', ANSWER_LIMIT_MS, isServed);
    assert.equal(vm.unexpectedEnds, 0);
    const peakBytes = readMemoryBytes(pid, 'VmHWM');
    context.diagnostic(
      `${name}: ${toMegabytes(restBytes)} before, peak ${toMegabytes(peakBytes)}, ${peakDescriptors} descriptors`,
    );
    assert.ok(peakBytes <= MEMORY_MB * BYTES_PER_MB, `peak ${toMegabytes(peakBytes)}`);
    assert.ok(peakDescriptors <= MAX_FDS, `${peakDescriptors} descriptors`);
  });
}
