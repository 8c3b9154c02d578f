import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';

import { Client } from '../Client.js';
import { DarkAddress } from '../DarkAddress.js';
import { buildConfiguration, runCase, sleep } from '../fleet.js';
import { answerPlain, answerStream, WorkerServer } from '../WorkerServer.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';

const STABLE_WINDOW_MS = 3_000;
const CONFIG_APPLY_MS = 2_000;

/** The store rejects one of three machines for this long. */
const REJECT_MS = 3_000;
/** When the configuration changes, after the store has begun to reject the machine. */
const CHANGE_AFTER_MS = 1_000;
/** Time from the change to the loss of power of the others: `after_ack_kill` allows 5 to 400 ms. */
const POWER_LOSS_AFTER_MS = 390;
const WATCHED_MS = 9_000;

const KEPT_KEY = 'kept0000000000000001';
const REMOVED_KEY = 'gone0000000000000002';

const buildVersion = (version, apiKeys) =>
  buildConfiguration({
    version,
    routes: [
      {
        name: 'book',
        path_prefix: '/book/',
        kind: 'unsafe',
        timeout_ms: 1_500,
        target_latency_ms: 121,
        service: 'desk',
      },
      {
        name: 'query',
        path_prefix: '/query/',
        kind: 'streaming',
        timeout_ms: 12_000,
        target_latency_ms: 300,
        service: 'desk',
      },
    ],
    services: [{ name: 'desk', max_conns: 100 }],
    tenants: [{ name: 'workshop', api_keys: apiKeys, priority: 1 }],
  });

const startWorkers = async ({ store, record, closers }) => {
  for (const id of ['i-desk-1', 'i-desk-2']) {
    const run = (request, response, headers) => {
      if (request.url.startsWith('/query/'))
        answerStream(request, response, headers, { events: 40, intervalMs: 50 });
      else answerPlain(request, response, headers, { workMs: 20 });
    };
    const worker = new WorkerServer({ id, service: 'desk', store, record, slots: 20, run });
    await worker.listen();
    closers.push(() => worker.close());
  }
};

/** Sends attempts to one machine with one key. */
const runClient = async (record, vm, stop, { path, key, deadlineMs, pauseMs }) => {
  const client = new Client(record, () => vm);
  while (!stop.isSet) {
    const seen = await client.send({ path, headers: { 'X-Key': key }, body: 'x', deadlineMs });
    seen.key = key;
    await sleep(pauseMs);
  }
  client.close();
};

const losePower = async (vm, dark) => {
  vm.send('SIGKILL');
  await vm.exited;
  await dark.take(vm.host, vm.peers);
};

const run = async (context) => {
  const { store, vms, record, logNote, toS, closers } = context;
  const [vm, ...others] = vms;
  store.write('config', 'main', buildVersion(7, [KEPT_KEY, REMOVED_KEY]));
  await startWorkers(context);
  for (const one of vms) one.start();
  for (const one of vms) await one.waitUntilReady();
  const darkAddresses = HAS_TROUBLE ? others.map(() => new DarkAddress()) : [];
  for (const dark of darkAddresses) closers.push(() => dark.close());
  logNote('all machines are ready');

  const stop = { isSet: false };
  const stopOthers = { isSet: false };
  const loops = [
    ...[KEPT_KEY, REMOVED_KEY].map((key) =>
      runClient(record, vm, stop, { path: '/book/x', key, deadlineMs: 1_500, pauseMs: 80 }),
    ),
    ...others.flatMap((one) =>
      [1, 2].map(() =>
        runClient(record, one, stopOthers, {
          path: '/query/x',
          key: KEPT_KEY,
          deadlineMs: 12_000,
          pauseMs: 20,
        }),
      ),
    ),
  ];
  // The list of machines is read every three seconds.
  await sleep(STABLE_WINDOW_MS + 3_500);

  if (HAS_TROUBLE) {
    store.rejected.add(vm.options.storeAddress);
    logNote('the store rejects the first machine');
  }
  const rejectedAtMs = performance.now();
  await sleep(CHANGE_AFTER_MS);
  store.write('config', 'main', buildVersion(9, [KEPT_KEY]));
  const ackedAtMs = performance.now();
  logNote('version 9, which lacks a key, is acknowledged');
  stopOthers.isSet = true;
  if (HAS_TROUBLE) {
    await sleep(POWER_LOSS_AFTER_MS);
    await Promise.all(others.map((one, index) => losePower(one, darkAddresses[index])));
    logNote('the two other machines have lost power');
  }
  await sleep(rejectedAtMs + REJECT_MS - performance.now());
  store.rejected.clear();
  const calmAtMs = performance.now();
  logNote('the store serves the first machine again');
  await sleep(STABLE_WINDOW_MS + WATCHED_MS);
  stop.isSet = true;
  await Promise.all(loops);

  const fromMs = Math.max(calmAtMs + STABLE_WINDOW_MS, ackedAtMs + CONFIG_APPLY_MS);
  logNote(`the first machine is in touch and bound by version 9 from ${toS(fromMs)} s`);
  const withRemovedKey = record.sent.filter(
    (seen) => seen.key === REMOVED_KEY && seen.sentAtMs > fromMs,
  );
  const ran = withRemovedKey.filter(({ id }) => record.runs.some((one) => one.id === id));
  const last = record.sent.findLast((seen) => seen.key === REMOVED_KEY && seen.status === 200);
  logNote(`the last answer with the removed key began at ${toS(last?.sentAtMs)} s`);
  logNote(`${withRemovedKey.length} requests bore the removed key after that; ${ran.length} ran`);
  return ran.length > 0 ? 1 : 0;
};

const folder = dirname(fileURLToPath(import.meta.url));
const machines = ['edge-a-1', 'edge-b-1', 'edge-c-1'].map((name) => ({ name }));
await runCase({ folder, machines, run });
