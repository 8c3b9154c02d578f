import assert from 'node:assert/strict';
import { test } from 'node:test';

import { RoomSimulation } from '../testing/index.js';
import { isEngineFull } from './isEngineFull.js';

import type { RoomSite, RoomTraffic } from '../testing/index.js';

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

// Long prompts that fill the slots nearly alone, and urgent ones whose prefill fits into their target.
const TRAFFIC: readonly RoomTraffic[] = [
  {
    name: 'long',
    perSecond: 12,
    priority: 5,
    promptTokens: 4_000,
    streamMs: 5_000,
    targetMs: 2_000,
  },
  {
    name: 'urgent',
    perSecond: 4,
    priority: 3,
    promptTokens: 1_000,
    streamMs: 1_500,
    targetMs: 400,
  },
];

const SITE: RoomSite = { vms: 75, reportIntervalMs: 200, slots: 64, sendsUrgent: false };

const countLate = (site: RoomSite): Readonly<Record<string, number>> => {
  const sums: Record<string, number> = { sent: 0, urgent: 0, long: 0, rejected: 0 };
  for (const seed of SEEDS) {
    const { counts, rejected } = new RoomSimulation(site, seed).run(TRAFFIC, 20);
    for (const [name, { late }] of counts) sums[name] = (sums[name] ?? 0) + late;
    sums.rejected = (sums.rejected ?? 0) + rejected;
    sums.sent = (sums.sent ?? 0) + (counts.get('urgent')?.sent ?? 0);
  }
  return sums;
};

test('only requests of the most urgent rank go to an engine without a free slot, well below its bound', () => {
  assert.deepEqual([isEngineFull(64, 63, false), isEngineFull(64, 64, false)], [false, true]);
  assert.deepEqual([isEngineFull(64, 95, true), isEngineFull(64, 96, true)], [false, true]);
  assert.equal(isEngineFull(1, 1, true), true);
  assert.equal(isEngineFull(Infinity, 1_000, false), false);
});

// Guards against urgent prompts that wait at their VM while slots go to long prompts of other VMs.
test('long prompts fill all slots: fewer urgent ones are late if they are sent, and none is rejected', (context) => {
  const held = countLate(SITE);
  const sent = countLate({ ...SITE, sendsUrgent: true });
  const oracle = countLate({ ...SITE, vms: 1, sendsUrgent: true });
  context.diagnostic(`late: ${JSON.stringify({ held, sent, oracle })}`);
  assert.equal(sent.rejected, 0);
  assert.ok((sent.urgent ?? 0) < (held.urgent ?? 0) / 2, `${sent.urgent} against ${held.urgent}`);
});
