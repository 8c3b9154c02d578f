import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { toBranded } from '@sardinegrade/common';

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
    await sleep(200);
    removeCrashed(site);
  }
  assert.ok(site.crashed.length <= MAX_CRASHES, `${site.crashed.length} workers ended`);
  const sound = await callVm(site, 0, 'system,session');
  assert.deepEqual([sound.status, sound.isComplete], [200, true]);
});
