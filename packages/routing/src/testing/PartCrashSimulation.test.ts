import assert from 'node:assert/strict';
import { test } from 'node:test';

import { runPartCrashSimulation } from './PartCrashSimulation.js';

import type { PartCrashSite } from './PartCrashSimulation.js';

const SMALL_SITE: PartCrashSite = {
  vms: 7,
  workers: 6,
  reportIntervalMs: 50,
  hops: 1,
  lossShare: 0,
  requestsPerSecond: 25,
  poisonedShare: 0.08,
  poisonedParts: 1,
  randomCrashIntervalMs: Infinity,
  durationMs: 8_000,
  seed: 1,
  hasQuarantine: true,
};

/** The operators' rule counts from the fifth crash and allows three more requests. */
const MAX_CRASHES = 5;
const MAX_SENT_AFTER_FIFTH = 3;

const SITES: Readonly<Record<string, Partial<PartCrashSite>>> = {
  'few poisoned requests': { poisonedShare: 0.02 },
  'many poisoned requests': { poisonedShare: 0.2 },
  'three parts': { poisonedParts: 3 },
  'messages are lost': { lossShare: 0.2 },
  'workers also crash for other reasons': { randomCrashIntervalMs: 2_000 },
  'reports go through relays': { vms: 30, workers: 20, reportIntervalMs: 150, hops: 3 },
};

for (const [name, part] of Object.entries(SITES)) {
  test(`in a simulated fleet a part ends few workers and hardly any sound request is refused: ${name}`, () => {
    const counts = runPartCrashSimulation({ ...SMALL_SITE, ...part });
    assert.ok(counts.crashesPerPart <= MAX_CRASHES, `${counts.crashesPerPart} crashes`);
    assert.ok(counts.sentAfterFifth <= MAX_SENT_AFTER_FIFTH);
    assert.ok(counts.soundRefused <= counts.sound / 50, `${counts.soundRefused} refused`);
  });
}

test('without the quarantine the simulated part ends more workers than allowed', () => {
  const counts = runPartCrashSimulation({ ...SMALL_SITE, hasQuarantine: false });
  assert.ok(counts.crashesPerPart > MAX_CRASHES);
  assert.ok(counts.sentAfterFifth > MAX_SENT_AFTER_FIFTH);
});

test('crashes for other reasons alone lead to no refusal that lasts', () => {
  const counts = runPartCrashSimulation({
    ...SMALL_SITE,
    poisonedShare: 0,
    randomCrashIntervalMs: 1_000,
  });
  assert.ok(counts.soundRefused <= counts.sound / 50, `${counts.soundRefused} refused`);
});
