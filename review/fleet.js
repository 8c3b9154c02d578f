import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { Platform } from './Platform.js';
import { StoreServer } from './StoreServer.js';
import { Vm } from './Vm.js';

/** Waits for a time in milliseconds. */
export const sleep = (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs));

/** Builds a configuration of a small deployment, as the operator writes it. */
export const buildConfiguration = ({ version, routes, services, tenants, limits = {} }) => ({
  version,
  routes: routes.map((route) => ({
    host: 'desk.example',
    priority: 1,
    public: false,
    sticky: false,
    resumable: false,
    max_attempts: 1,
    gap_aim_ms: 300,
    ...route,
  })),
  services: services.map((service) => ({
    health_path: '/healthz',
    max_conns: 360,
    protocol: 'h1',
    tls: false,
    ...service,
  })),
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
    ...limits,
  },
  ...(tenants === undefined ? {} : { tenants }),
});

/** Starts a store and machines, runs the case and ends all that it started. Exits with the case's verdict. */
export const runCase = async ({ folder, machines, run }) => {
  const scratch = mkdtempSync(join(tmpdir(), 'review-'));
  const record = { sent: [], runs: [], notes: [] };
  const store = new StoreServer();
  const vms = [];
  const closers = [];
  const startedAtMs = performance.now();
  const logNote = (text) => {
    const atS = ((performance.now() - startedAtMs) / 1_000).toFixed(3);
    record.notes.push(`${atS} s  ${text}`);
  };
  const toS = (atMs) => (atMs === undefined ? '-' : ((atMs - startedAtMs) / 1_000).toFixed(3));
  let verdict = 2;
  const abortAll = () => {
    for (const vm of vms) vm.send('SIGKILL');
    for (const close of closers) close();
  };
  const limit = setTimeout(() => {
    abortAll();
    process.exit(2);
  }, 115_000);
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => {
      abortAll();
      process.exit(2);
    });
  }
  try {
    await store.listen();
    for (let index = 0; index < machines.length; index += 1) {
      const storeAddress = await store.openAddress();
      const vm = new Vm({ storeAddress, folder: scratch, ...machines[index] });
      await vm.writeSettings();
      vms.push(vm);
    }
    const platform = new Platform(vms);
    closers.push(() => platform.stop());
    const context = { store, vms, platform, record, logNote, toS, closers, scratch };
    verdict = await run(context);
  } catch (error) {
    logNote(`the case could not run: ${error.stack}`);
  } finally {
    clearTimeout(limit);
    for (const vm of vms) await vm.abort();
    for (const close of closers) close();
    store.close();
    const lines = [
      ...record.notes,
      '',
      'sent (id, path, machine, sent, status, whole, end, ended):',
      ...record.sent.map((seen) =>
        [
          seen.id,
          seen.path,
          seen.vm,
          toS(seen.sentAtMs),
          seen.status ?? '-',
          seen.isWhole,
          seen.end,
          toS(seen.endedAtMs),
        ].join(' | '),
      ),
      '',
      'run (id, worker, started, ended, answered whole):',
      ...record.runs.map((one) =>
        [one.id, one.worker, toS(one.startedAtMs), toS(one.endedAtMs), one.isWhole].join(' | '),
      ),
    ];
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    if (process.env.KEEP !== '1') rmSync(scratch, { recursive: true, force: true });
    else console.error(`logs are kept in ${scratch}`);
  }
  console.log(record.notes.join('\n'));
  process.exit(verdict);
};
