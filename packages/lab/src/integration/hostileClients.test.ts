import { createServer } from 'node:http';
import { test } from 'node:test';

import { AdministratorRole } from '@sardinegrade/common';
import { checkCrowds } from '@sardinegrade/common/testing';
import { hashKey } from '@sardinegrade/fleet';

import { buildSampleText, SAMPLE_KEYS } from '../demo/index.js';
import { ProcessGroup, waitUntil } from '../harness/index.js';
import { startEngine, startPlatform } from '../standins/index.js';

import type { CrowdTarget, HostileCrowd } from '@sardinegrade/common/testing';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import type { ManagedProcess } from '../harness/index.js';

/** Limits in the settings of the daemon: those of a small VM. */
const MEMORY_BYTES = 350_000_000;
const CONNECTIONS = 1_000;
const REQUESTS = 800;

/** The connections, one connection to an upstream for each request, and what a process needs besides. */
const MAX_DESCRIPTORS = CONNECTIONS + REQUESTS + 200;

/** The controller has no settings for clients: only operators and probes read its status. */
const CONTROLLER_MEMORY_BYTES = 200_000_000;
const MAX_CONTROLLER_DESCRIPTORS = 500;

/** Time in which the clients write and stay connected, in milliseconds. */
const STAY_MS = 8_000;

const CALL_LIMIT_MS = 10_000;
const UNREAD_ANSWER_BYTES = 6_000_000;

const BLOCK_BYTES = 64 * 1_024;
const FILLER = 'x'.repeat(BLOCK_BYTES);

const formatHead = (target: string, fields: string): string =>
  `${target} HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer ${SAMPLE_KEYS.counter}\r\n${fields}`;

const CHAT = 'POST /v1/chat/completions';
const CHUNKED = formatHead(CHAT, 'Transfer-Encoding: chunked\r\n\r\n');

const INCOMPLETE_HEADS: HostileCrowd = {
  clients: 3_000,
  start: formatHead(CHAT, ''),
  block: `X-Filler: ${'x'.repeat(1_000)}\r\n`,
  bytes: 15_000,
};

/** Clients of the port for callers. */
const CALLER_CROWDS: Readonly<Record<string, HostileCrowd>> = {
  'unfinished bodies in one-byte chunks': {
    clients: 100,
    start: CHUNKED,
    block: '1\r\nx\r\n'.repeat(10_000),
    bytes: 1_200_000,
  },
  'unfinished bodies in large chunks': {
    clients: 400,
    start: CHUNKED,
    block: `10000\r\n${FILLER}\r\n`,
    bytes: 1_000_000,
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
  'bodies without end and without a key': {
    clients: 50,
    start: `${CHAT} HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n`,
    block: '1\r\nx\r\n'.repeat(10_000),
    bytes: 100_000_000,
  },
  'incomplete request heads': INCOMPLETE_HEADS,
  'answers that nobody reads': {
    clients: 100,
    start: formatHead('GET /services/booking/large', '\r\n'),
    block: '',
    bytes: 0,
  },
  'many requests on a connection whose answers nobody reads': {
    clients: 100,
    start: '',
    block: formatHead('GET /v1/models', '\r\n'),
    bytes: 2_000_000,
  },
};

/** Clients of the administration port, with an administrator's key and without. */
const ADMINISTRATION_CROWDS: Readonly<Record<string, HostileCrowd>> = {
  'incomplete request heads': INCOMPLETE_HEADS,
  'unfinished bodies in one-byte chunks': {
    clients: 100,
    start:
      'PUT /v1/configuration HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n' +
      `If-Match: "1"\r\nAuthorization: Bearer ${SAMPLE_KEYS.administrator}\r\n\r\n`,
    block: '1\r\nx\r\n'.repeat(10_000),
    bytes: 1_200_000,
  },
  'bodies without end and without a key': {
    clients: 50,
    start:
      'PUT /v1/configuration HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n',
    block: '1\r\nx\r\n'.repeat(10_000),
    bytes: 100_000_000,
  },
  'many requests on a connection whose answers nobody reads': {
    clients: 100,
    start: '',
    block: formatHead('GET /metrics', '\r\n'),
    bytes: 2_000_000,
  },
};

/** Clients of the port at which the controller shows its status. */
const STATUS_CROWDS: Readonly<Record<string, HostileCrowd>> = {
  'incomplete request heads': INCOMPLETE_HEADS,
  'many requests on a connection whose answers nobody reads': {
    clients: 100,
    start: '',
    block: formatHead('GET /status', '\r\n'),
    bytes: 2_000_000,
  },
};

/** A plain service that answers calls for `/large` with a large body, and passes on no others. */
const startLargeService = async (context: TestContext): Promise<string> => {
  const body = 'x'.repeat(UNREAD_ANSWER_BYTES);
  const server = createServer((request, response) => {
    response.on('error', () => undefined);
    request.resume();
    const attempt = String(request.headers['x-attempt-id'] ?? '');
    response.writeHead(200, { 'x-attempt-id': attempt, 'content-type': 'text/plain' });
    response.end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const callOrdinary = async (callers: string): Promise<boolean> => {
  try {
    const response = await fetch(`${callers}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${SAMPLE_KEYS.counter}`, connection: 'close' },
      body: JSON.stringify({
        model: 'drill-7b',
        max_tokens: 5,
        messages: [{ role: 'user', content: 'Is bit 4711 back?' }],
      }),
      signal: AbortSignal.timeout(CALL_LIMIT_MS),
    });
    await response.text();
    return response.status === 200;
  } catch {
    return false;
  }
};

const applyConfiguration = async (administration: string, text: string): Promise<void> => {
  const response = await fetch(`${administration}/v1/configuration`, {
    method: 'PUT',
    headers: {
      authorization: `Bearer ${SAMPLE_KEYS.administrator}`,
      'if-match': '"0"',
      'content-type': 'text/plain',
    },
    body: text,
  });
  if (!response.ok) throw new Error(`the configuration was rejected: ${await response.text()}`);
};

/** Starts an entry daemon as a process of its own, with an engine and a service that stand in for the upstreams. */
const startDaemon = async (context: TestContext): Promise<ManagedProcess> => {
  const platform = await startPlatform();
  const engine = await startEngine({ models: ['drill-7b'], slots: 4, tokenIntervalMs: 10 });
  const group = new ProcessGroup();
  context.after(async () => {
    await group.stop();
    await Promise.all([platform, engine].map((standIn) => standIn.stop()));
  });
  const daemon = await group.startConfigured('entry', 'vm-1', {
    vm: { id: 'vm-1', data_centre: 'hobart' },
    callers: {
      listen: '127.0.0.1:0',
      memory_limit: MEMORY_BYTES,
      connection_limit: CONNECTIONS,
      request_limit: REQUESTS,
    },
    administration: { listen: '127.0.0.1:0' },
    'administrator.demo': {
      roles: Object.values(AdministratorRole),
      key_sha256: [hashKey(SAMPLE_KEYS.administrator)],
    },
    peer: { listen: '127.0.0.1:0' },
    platform: { address: platform.address },
    log: { level: 'error' },
  });
  const text = buildSampleText({
    engines: [engine.address],
    service: await startLargeService(context),
  });
  await applyConfiguration(daemon.getAddress('administration'), text);
  await waitUntil('the daemon serves', () => callOrdinary(daemon.getAddress('callers')));
  return daemon;
};

const buildTarget = (
  daemon: ManagedProcess,
  address: string,
  limits: Pick<CrowdTarget, 'memoryBytes' | 'descriptorLimit' | 'callOrdinary'>,
): CrowdTarget => {
  const { hostname, port } = new URL(daemon.getAddress(address));
  const { pid } = daemon;
  return { host: hostname, port: Number(port), pid, isRunning: () => daemon.isRunning, ...limits };
};

const PORT_CROWDS = { callers: CALLER_CROWDS, administration: ADMINISTRATION_CROWDS };

// Guards against a daemon that is killed for its memory, or that runs out of descriptors, by what its clients do. Each with
// a process of its own, whose peak is then that of one kind of client.
for (const [port, crowds] of Object.entries(PORT_CROWDS)) {
  for (const [name, crowd] of Object.entries(crowds)) {
    test(`an entry daemon stays within its memory and descriptors and serves: ${name} (${port})`, async (context) => {
      const daemon = await startDaemon(context);
      const target = buildTarget(daemon, port, {
        memoryBytes: MEMORY_BYTES,
        descriptorLimit: MAX_DESCRIPTORS,
        callOrdinary: () => callOrdinary(daemon.getAddress('callers')),
      });
      await checkCrowds(context, target, [crowd], { stayMs: STAY_MS });
    });
  }
}

// The controller sends orders to engines; a client of its status port must not end it.
for (const [name, crowd] of Object.entries(STATUS_CROWDS)) {
  test(`a controller stays within its memory and descriptors and serves: ${name}`, async (context) => {
    const platform = await startPlatform();
    const group = new ProcessGroup();
    context.after(async () => {
      await group.stop();
      await platform.stop();
    });
    const controller = await group.startConfigured('controller', 'vm-1', {
      vm: { id: 'vm-1', data_centre: 'hobart' },
      platform: { address: platform.address },
      log: { level: 'error' },
    });
    const target = buildTarget(controller, 'administration', {
      memoryBytes: CONTROLLER_MEMORY_BYTES,
      descriptorLimit: MAX_CONTROLLER_DESCRIPTORS,
      callOrdinary: async () => {
        const address = `${controller.getAddress('administration')}/status`;
        const signal = AbortSignal.timeout(CALL_LIMIT_MS);
        const response = await fetch(address, { signal }).catch(() => undefined);
        return response?.ok === true;
      },
    });
    await checkCrowds(context, target, [crowd], { stayMs: STAY_MS });
  });
}
