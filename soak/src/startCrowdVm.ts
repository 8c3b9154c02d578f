import { execFileSync } from 'node:child_process';
import { createServer, request as sendHttp } from 'node:http';

import {
  buildSiteConfiguration,
  registerWorker,
  StoreStandIn,
  TestWorker,
  waitUntil,
} from '@sardinegrade/users-platform/testing';

import { startSoakVm } from './startSoakVm.js';

import type { CrowdTarget } from '@sardinegrade/common/testing';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';

const PORTS = { front: 21_200, ready: 21_201, peers: 21_202 };
const BYTES_PER_MB = 1_000_000;

const ROUTE_TIMEOUT_MS = 10_000;
const START_LIMIT_MS = 15_000;
const MAX_WORKER_CONNECTIONS = 1_000;
const SLOTS = 1_000;

/** Path prefix of the ordinary requests. */
const ORDINARY_PREFIX = '/plain/';

/** Header lines that every request of a crowd needs. */
export const CROWD_FIELDS = 'Host: desk.example\r\nX-Key: k1\r\nX-Request-Id: hostile\r\n';

/** A route with a service and a worker of its own. */
export interface CrowdRoute {
  /** Name of the route, also its path prefix: `/name/`. */
  readonly name: string;
  readonly kind: string;
  /** Further fields of the route. */
  readonly fields?: object;
  /** Further fields of the service. */
  readonly service?: object;
  /** Answers a request; the fields mark the answer as the worker's own. */
  readonly answer: (
    request: IncomingMessage,
    response: ServerResponse,
    seal: Readonly<Record<string, string>>,
  ) => void;
}

/** A VM for crowds of clients. */
export interface CrowdVmOptions {
  /** Loopback address, which no other test uses. */
  readonly ip: string;
  /** Memory of the VM, in megabytes. */
  readonly memoryMb: number;
  readonly descriptorLimit: number;
  /** Routes beside that of the ordinary requests. */
  readonly routes: readonly CrowdRoute[];
}

/** Sends an ordinary request; resolves to whether it was answered with success. */
const callOrdinary = (ip: string): Promise<boolean> =>
  new Promise((resolve) => {
    const headers = { host: 'desk.example', 'X-Key': 'k1', 'X-Request-Id': 'ordinary' };
    const options = { host: ip, port: PORTS.front, path: ORDINARY_PREFIX, agent: false, headers };
    const request = sendHttp(options, (response) => {
      response.resume();
      response.on('error', () => undefined);
      response.on('close', () => resolve(response.complete && response.statusCode === 200));
    });
    request.setTimeout(ROUTE_TIMEOUT_MS, () => request.destroy());
    request.on('error', () => resolve(false));
    request.end();
  });

const startWorker = async (context: TestContext, answer: CrowdRoute['answer']): Promise<string> => {
  const server = createServer((request, response) => {
    response.on('error', () => undefined);
    request.resume();
    const id = String(request.headers['x-request-id'] ?? '');
    answer(request, response, { 'X-Request-Id': id, 'X-Response-Seal': 's' });
  });
  // Workers limit the head of a request in bytes only.
  server.maxHeadersCount = 0;
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

/**
 * Starts the bundled program as a VM with a worker for ordinary requests and one for each further route.
 *
 * @param context - the test, after which all processes and servers are ended
 * @param options - limits and routes
 * @returns the VM, which serves
 */
export const startCrowdVm = async (
  context: TestContext,
  { ip, memoryMb, descriptorLimit, routes }: CrowdVmOptions,
): Promise<CrowdTarget> => {
  execFileSync(process.execPath, ['tools/bundleRole.js']);
  const store = new StoreStandIn();
  const worker = new TestWorker('w0');
  await Promise.all([store.listen(), worker.listen()]);
  context.after(() => {
    worker.close();
    store.close();
  });
  const base = buildSiteConfiguration(1, ['k1']);
  const [baseRoute] = base.routes;
  const buildRoute = (name: string, kind: string, fields: object = {}): object => ({
    ...baseRoute,
    name,
    path_prefix: `/${name}/`,
    kind,
    service: name,
    timeout_ms: ROUTE_TIMEOUT_MS,
    gap_aim_ms: 200,
    ...fields,
  });
  const buildService = (name: string, fields: object = {}): object => ({
    ...base.services[0],
    name,
    max_conns: MAX_WORKER_CONNECTIONS,
    ...fields,
  });
  store.write('config', 'main', {
    ...base,
    routes: [
      buildRoute('plain', 'safe'),
      ...routes.map(({ name, kind, fields }) => buildRoute(name, kind, fields)),
    ],
    services: [
      buildService('plain'),
      ...routes.map(({ name, service }) => buildService(name, service)),
    ],
  });
  registerWorker(store, { id: 'w0', address: worker.address, service: 'plain', slots: SLOTS });
  for (const [index, { name, answer }] of routes.entries()) {
    const address = await startWorker(context, answer);
    registerWorker(store, { id: `w${index + 1}`, address, service: name, slots: SLOTS });
  }
  const vm = startSoakVm(context, {
    name: 'vm-crowd',
    ip,
    ports: PORTS,
    storePort: store.port,
    limits: { memory_mb: memoryMb, max_fds: descriptorLimit },
  });
  await waitUntil('the VM serves', START_LIMIT_MS, () => callOrdinary(ip));
  return {
    host: ip,
    port: PORTS.front,
    pid: vm.pid,
    memoryBytes: memoryMb * BYTES_PER_MB,
    descriptorLimit,
    isRunning: () => vm.unexpectedEnds === 0,
    callOrdinary: () => callOrdinary(ip),
  };
};
