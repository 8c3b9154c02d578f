import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { toBranded } from '@sardinegrade/common';
import { PartCrashTracker } from '@sardinegrade/routing';

import {
  buildTestConfiguration,
  formatEvent,
  formatStream,
  readHeader,
  startTestFleet,
  startTestWorkers,
  STREAM_END,
} from '../testing/index.js';

import type { TestContext } from 'node:test';
import type { RoutingConfiguration } from '@sardinegrade/routing';
import type { TestForwarder, TestWorker, WorkerScript } from '../testing/index.js';

const VMS = 5;
const WORKERS = 14;

/** Number of crashes after which the operators' rule allows no more requests, after a time for propagation. */
const MAX_CRASHES = 5;

/** Time until the first event of an answer, and from there to its end, in milliseconds. */
const PREFILL_MS = 30;
const DECODE_MS = 60;

/** Interval between requests that crash workers, in milliseconds: crashes at the same moment count as one. */
const SEPARATE_CRASHES_MS = 200;

const CONDITION_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 10;

const ENGINE_CONFIGURATION: RoutingConfiguration = buildTestConfiguration({
  services: new Map([
    [
      toBranded('desk'),
      {
        name: toBranded('desk'),
        connectionLimit: 100,
        engine: { slots: 64, cacheTokens: 600_000 },
      },
    ],
  ]),
});

interface CrashSite {
  readonly forwarders: readonly TestForwarder[];
  readonly workers: readonly TestWorker[];
  /** Indexes of the crashed workers, in order. */
  readonly crashed: readonly number[];
}

/** Starts a fleet whose workers crash when they begin to answer a request with one of the parts. */
const startCrashSite = async (
  context: TestContext,
  subnet: number,
  poisonedParts: ReadonlySet<string>,
): Promise<CrashSite> => {
  const crashed: number[] = [];
  const buildScript =
    (index: number): WorkerScript =>
    (socket, head) => {
      const parts = readHeader(head, 'parts').split(',');
      setTimeout(() => {
        if (parts.some((part) => poisonedParts.has(part))) {
          if (!crashed.includes(index)) crashed.push(index);
          workers[index]?.close();
          return;
        }
        socket.write(formatStream(head, ['a']));
        setTimeout(() => socket.write(formatEvent(2, 'b') + STREAM_END), DECODE_MS);
      }, PREFILL_MS);
    };
  const scripts = Array.from({ length: WORKERS }, (_, index) => buildScript(index));
  const workers = await startTestWorkers(context, scripts);
  const forwarders = await startTestFleet(context, {
    vms: VMS,
    subnet,
    workers,
    configuration: ENGINE_CONFIGURATION,
  });
  return { forwarders, workers, crashed };
};

const callVm = async (
  { forwarders }: CrashSite,
  index: number,
  parts: string,
): ReturnType<TestForwarder['call']> => {
  const forwarder = forwarders[index % forwarders.length];
  if (forwarder === undefined) throw new Error('The fleet has no VM.');
  return forwarder.call('stream', { tokens: '300', parts: `${parts},own-${index}` }, `${index}`);
};

/** Tells all VMs what the store reports of crashed workers: their entries are gone. */
const removeCrashed = ({ forwarders, crashed }: CrashSite): void => {
  for (const { state } of forwarders) {
    for (const index of crashed) {
      const worker = state.fleet.directory.find(toBranded(`w${index}`));
      if (worker === undefined) continue;
      state.fleet.directory.remove(worker.id, performance.now());
      state.recordInstanceEnd(worker);
    }
  }
};

// Guards against a prompt part that crashes one worker after another in requests that differ otherwise.
test('a prompt part that crashes workers ends few of them, and sound requests of its first part are served', async (context) => {
  const site = await startCrashSite(context, 61, new Set(['poison']));
  for (let index = 0; index < WORKERS - 1; index += 1) {
    const [poisoned, sound] = await Promise.all([
      callVm(site, index, 'system,poison'),
      callVm(site, index + 1, 'system,session'),
    ]);
    assert.notEqual(poisoned.status, 200);
    assert.ok(sound.status === 200 || site.crashed.length <= MAX_CRASHES);
    await sleep(SEPARATE_CRASHES_MS);
    removeCrashed(site);
  }
  assert.ok(site.crashed.length <= MAX_CRASHES, `${site.crashed.length} workers ended`);
  const sound = await callVm(site, 0, 'system,session');
  assert.deepEqual([sound.status, sound.isComplete], [200, true]);
});

const waitUntil = async (isMet: () => boolean): Promise<void> => {
  const deadlineMs = performance.now() + CONDITION_TIMEOUT_MS;
  while (!isMet()) {
    assert.ok(performance.now() < deadlineMs, 'the condition is not met');
    await sleep(POLL_INTERVAL_MS);
  }
};

const hasRefused = ({ state }: TestForwarder): boolean => state.partQuarantine.refusedCount > 0;

test('every VM refuses the part as not run within a second of the second crash', async (context) => {
  const site = await startCrashSite(context, 62, new Set(['poison']));
  for (let index = 0; site.crashed.length < 2; index += 1) {
    await callVm(site, index, 'system,poison');
    await sleep(SEPARATE_CRASHES_MS);
  }
  const startedAtMs = performance.now();
  await waitUntil(() => site.forwarders.every(hasRefused));
  assert.ok(performance.now() - startedAtMs < 1_000);
  for (let index = 0; index < VMS; index += 1) {
    const answer = await callVm(site, index, 'other,poison');
    assert.equal(answer.status, 503);
    assert.match(answer.body, /"run":"not_run"/);
    assert.ok(Number(answer.headers['retry-after']) > 1);
  }
  assert.equal(site.crashed.length, 2);
});

test('a worker that resets connections but keeps listening, and one that leaves, accuse no part', async (context) => {
  const scripts = Array.from({ length: 2 }, (): WorkerScript => (socket) => socket.destroy());
  const workers = await startTestWorkers(context, scripts);
  const configuration = ENGINE_CONFIGURATION;
  const [forwarder] = await startTestFleet(context, { vms: 1, subnet: 63, workers, configuration });
  assert.ok(forwarder !== undefined);
  const { state } = forwarder;
  const call = (own: string): ReturnType<TestForwarder['call']> =>
    forwarder.call('stream', { tokens: '300', parts: `system,session,${own}` }, own);
  for (const own of ['a', 'b', 'c', 'd']) assert.equal((await call(own)).status, 502);
  assert.equal(state.partQuarantine.collectUnsent().length, 0);
  for (const worker of state.fleet.directory.listAll()) {
    state.fleet.directory.set({ ...worker, isLeaving: true });
  }
  for (const worker of workers) worker.close();
  for (const own of ['e', 'f']) assert.equal((await call(own)).status, 503);
  assert.equal(state.partQuarantine.collectUnsent().length, 0);
});

test('a VM that starts after the crashes refuses the part', async (context) => {
  const site = await startCrashSite(context, 64, new Set(['poison']));
  for (let index = 0; site.crashed.length < 2; index += 1) {
    await callVm(site, index, 'system,poison');
    await sleep(SEPARATE_CRASHES_MS);
  }
  await waitUntil(() => site.forwarders.every(hasRefused));
  const received = new PartCrashTracker();
  const [forwarder] = site.forwarders;
  await waitUntil(() => {
    received.addEvidence(forwarder?.state.partQuarantine.collectUnsent() ?? [], 0);
    return received.refused.size > 0;
  });
});
