import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { Agent, createServer, request as sendHttp } from 'node:http';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { buildLoopbackHost } from '@sardinegrade/common/testing';
import {
  buildSiteConfiguration,
  registerWorker,
  StoreStandIn,
  waitUntil,
} from '@sardinegrade/users-platform/testing';

import { startSoakVm } from './startSoakVm.js';

import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import type { SoakVm } from './SoakVm.js';

const IP = buildLoopbackHost(10, 0);
const PORTS = { front: 21_120, ready: 21_121, peers: 21_122 };
const START_LIMIT_MS = 15_000;

/** Time limit of the route and of the callers, in milliseconds: longer than the grace period. */
const ROUTE_TIMEOUT_MS = 12_000;

/** Times in which the worker answers, by turns, in milliseconds. */
const ANSWER_TIMES_MS = [20, 1_000, 6_000];
const CALLERS = 12;
const SLOTS = 64;

/** Requests that a worker has received, and the callers' outcomes by request. */
interface Seen {
  readonly received: Set<string>;
  /** Status of the whole answer, or 0. */
  readonly statuses: Map<string, number>;
}

const startWorker = async (context: TestContext, seen: Seen): Promise<string> => {
  const server = createServer((request, response) => {
    const id = String(request.headers['x-request-id']);
    const delayMs = ANSWER_TIMES_MS[seen.received.size % ANSWER_TIMES_MS.length] ?? 0;
    seen.received.add(id);
    request.resume();
    setTimeout(() => {
      response.writeHead(200, { 'X-Request-Id': id, 'X-Response-Seal': 's' });
      response.end('done');
    }, delayMs);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const call = (agent: Agent, id: string): Promise<number> =>
  new Promise((resolve) => {
    const request = sendHttp(
      {
        host: IP,
        port: PORTS.front,
        path: '/unsafe/',
        method: 'POST',
        agent,
        headers: {
          host: 'desk.example',
          'X-Request-Id': id,
          'X-Deadline-Ms': String(ROUTE_TIMEOUT_MS),
          'X-Key': 'k1',
        },
      },
      (response) => {
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => resolve(response.complete ? (response.statusCode ?? 0) : 0));
      },
    );
    request.on('error', () => resolve(0));
    request.end('body');
  });

const startVm = async (context: TestContext, seen: Seen): Promise<SoakVm> => {
  execFileSync(process.execPath, ['tools/bundleRole.js']);
  const store = new StoreStandIn();
  await store.listen();
  const base = buildSiteConfiguration(1, ['k1']);
  const [route] = base.routes;
  const unsafe = {
    ...route,
    name: 'unsafe',
    path_prefix: '/unsafe/',
    kind: 'unsafe',
    timeout_ms: ROUTE_TIMEOUT_MS,
    max_attempts: 1,
  };
  store.write('config', 'main', { ...base, routes: [unsafe] });
  registerWorker(store, { id: 'w0', address: await startWorker(context, seen), slots: SLOTS });
  const options = { name: 'vm-grace', ip: IP, ports: PORTS, storePort: store.port };
  const vm = startSoakVm(context, options);
  context.after(() => store.close());
  const agent = new Agent();
  const isServed = async (): Promise<boolean> => (await call(agent, 'probe')) === 200;
  await waitUntil('the VM serves', START_LIMIT_MS, isServed);
  return vm;
};

const callUntilEnd = async (vm: SoakVm, seen: Seen, caller: number): Promise<void> => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  for (let count = 0; vm.pid !== undefined; count += 1) {
    const id = `r${caller}-${count}`;
    seen.statuses.set(id, await call(agent, id));
    await sleep(20);
  }
  agent.destroy();
};

// Guards against requests that a stopping VM passes on and then cuts without an answer: late in the grace period, at its end, or
// at a second SIGTERM.
test('each request that a stopping VM passes on gets a final answer, whatever signals follow', async (context) => {
  const seen: Seen = { received: new Set(), statuses: new Map() };
  const vm = await startVm(context, seen);
  const callers = Array.from({ length: CALLERS }, (_, caller) => callUntilEnd(vm, seen, caller));
  await sleep(500);
  vm.send('SIGTERM');
  await sleep(1_000);
  vm.send('SIGHUP');
  await sleep(1_000);
  vm.send('SIGTERM');
  await vm.waitForEnd();
  await Promise.all(callers);
  const lost = [...seen.received].filter((id) => seen.statuses.get(id) === 0);
  const falselyRefused = [...seen.received].filter((id) => seen.statuses.get(id) === 503);
  assert.ok(seen.received.size > CALLERS);
  assert.deepEqual([lost, falselyRefused], [[], []]);
});
