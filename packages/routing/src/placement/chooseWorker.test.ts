import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { createRandomSource } from '@sardinegrade/dispatch';

import { chooseWorker, isPlainLoadShared } from './chooseWorker.js';

const VMS = 75;
const WORKERS = 3;
const REPORT_MS = 225;
const REQUESTS = 6_000;
const INTERVAL_MS = 5;
const ANSWER_MS = 300;

interface Run {
  readonly vm: number;
  readonly worker: number;
  readonly endAtMs: number;
}

/** Simulates short requests of all VMs; returns the mean difference between the busiest and the idlest worker. */
const measureSpread = (isShared: boolean): number => {
  const random = createRandomSource(1);
  let active: readonly Run[] = [];
  let reported: readonly Run[] = [];
  let spread = 0;
  for (let request = 0; request < REQUESTS; request += 1) {
    const nowMs = request * INTERVAL_MS;
    active = active.filter(({ endAtMs }) => endAtMs > nowMs);
    if (nowMs % REPORT_MS < INTERVAL_MS) reported = active;
    const vm = Math.floor(random() * VMS);
    const views = Array.from({ length: WORKERS }, (_, worker) => {
      const own = active.filter((run) => run.worker === worker && run.vm === vm).length;
      const others = reported.filter((run) => run.worker === worker && run.vm !== vm).length;
      return {
        id: toBranded<never>(String(worker)),
        runs: own + (isShared ? others : 0),
        // Most VMs are in the data centre of the first worker.
        isLocal: worker === (vm % 5 === 0 ? 1 : 0),
        isAvoided: false,
        failureShare: 0,
      };
    });
    const worker = Number(chooseWorker(views, random, isShared));
    active = [...active, { vm, worker, endAtMs: nowMs + ANSWER_MS }];
    const runs = views.map((_, index) => active.filter((run) => run.worker === index).length);
    spread += Math.max(...runs) - Math.min(...runs);
  }
  return spread / REQUESTS;
};

// Guards against many VMs that each know only their own requests and so send most to the local worker.
test('few plain workers of many VMs are loaded more evenly if VMs share their loads', () => {
  const [alone, shared] = [measureSpread(false), measureSpread(true)];
  assert.ok(shared < alone / 2, `${shared} shared, ${alone} alone`);
});

test('loads are shared where a service has fewer workers than a quarter of the VMs', () => {
  assert.equal(isPlainLoadShared(3, 75), true);
  assert.equal(isPlainLoadShared(3, 7), false);
  assert.equal(isPlainLoadShared(4, 16), false);
});
