import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { PartCrashTracker } from './PartCrashTracker.js';

import type { PartId, PromptPart } from '../placement/index.js';

const SECOND_MS = 1_000;
const FIRST_TRIAL_MS = 30_000;

const buildPrompt = (text: string): readonly PromptPart[] =>
  `${text} own`.split(' ').map((id) => ({ id: toBranded(id), tokens: 100 }));

const isAnyVm = (): boolean => true;
const isNoVm = (): boolean => false;

const isRefused = (
  tracker: PartCrashTracker,
  text: string,
  nowMs: number,
  isTrialVm: (part: PartId) => boolean = isAnyVm,
): boolean => tracker.findRefused(buildPrompt(text), nowMs, isTrialVm) !== undefined;

/** Records one crash a second, with the prompts that waited for their first event on each worker. */
const recordCrashes = (
  tracker: PartCrashTracker,
  crashes: readonly (readonly string[])[],
  startMs = 0,
): void => {
  for (const [index, prompts] of crashes.entries()) {
    const atMs = startMs + index * SECOND_MS;
    for (const text of prompts) tracker.recordCrash(buildPrompt(text), startMs + index, atMs);
  }
};

test('a part under which two workers ended is refused; parts that came with it are not', () => {
  const tracker = new PartCrashTracker();
  recordCrashes(tracker, [
    ['system poison', 'system s1'],
    ['system poison', 'system s2'],
  ]);
  assert.equal(isRefused(tracker, 'system poison', SECOND_MS), true);
  assert.equal(isRefused(tracker, 'other poison', SECOND_MS), true);
  assert.equal(isRefused(tracker, 'system s1', SECOND_MS), false);
  assert.equal(isRefused(tracker, 'system', SECOND_MS), false);
});

test('an answer that has begun since clears a part, also if it came with all crashes', () => {
  const tracker = new PartCrashTracker();
  recordCrashes(tracker, [['poison session'], ['poison session']]);
  assert.equal(isRefused(tracker, 'other session', SECOND_MS), true);
  tracker.recordAnswer(buildPrompt('other session'), 2 * SECOND_MS);
  assert.equal(isRefused(tracker, 'other session', 2 * SECOND_MS), false);
  assert.equal(isRefused(tracker, 'poison session', 2 * SECOND_MS), true);
});

test('of two parts that only came together one is refused, and the next crash tells which it is', () => {
  const tracker = new PartCrashTracker();
  recordCrashes(tracker, [['poison session'], ['poison session']]);
  assert.equal(isRefused(tracker, 'poison', SECOND_MS), false);
  recordCrashes(tracker, [['poison']], 2 * SECOND_MS);
  assert.equal(isRefused(tracker, 'poison', 3 * SECOND_MS), true);
  assert.equal(isRefused(tracker, 'other session', 3 * SECOND_MS), false);
});

test('several parts that crash workers at the same time are all refused', () => {
  const tracker = new PartCrashTracker();
  const parts = ['p1', 'p2', 'p3'];
  recordCrashes(
    tracker,
    [...parts, ...parts].map((part, index) => [`system ${part}`, `s${index}`]),
  );
  for (const part of parts) assert.equal(isRefused(tracker, `system ${part}`, 6_000), true);
  tracker.recordAnswer(buildPrompt('system s9'), 6_000);
  assert.equal(isRefused(tracker, 'system s9', 6_000), false);
});

test('workers that end at the same moment accuse no part, however many they are', () => {
  const tracker = new PartCrashTracker();
  for (let instance = 0; instance < 6; instance += 1) {
    tracker.recordCrash(buildPrompt('system session'), instance, instance * 10);
  }
  assert.equal(isRefused(tracker, 'system session', 100), false);
});

test('a part on which answers had begun shortly before takes more crashes to be refused', () => {
  const tracker = new PartCrashTracker();
  tracker.recordAnswer(buildPrompt('system'), 0);
  const counts = [1, 2, 3, 4].map((count) => {
    recordCrashes(tracker, [['system']], count * SECOND_MS);
    return isRefused(tracker, 'system', count * SECOND_MS);
  });
  assert.deepEqual(counts, [false, false, false, true]);
});

test('a refused part is tried again by one request of one VM, later each time, and an answer ends it', () => {
  const tracker = new PartCrashTracker();
  recordCrashes(tracker, [['poison'], ['poison']]);
  const trialMs = SECOND_MS + FIRST_TRIAL_MS;
  assert.equal(isRefused(tracker, 'poison', trialMs - 1), true);
  assert.equal(isRefused(tracker, 'poison', trialMs, isNoVm), true);
  assert.equal(isRefused(tracker, 'poison', trialMs), false);
  tracker.recordSend(buildPrompt('poison'), trialMs);
  assert.equal(isRefused(tracker, 'poison', trialMs + 1), true);
  tracker.recordCrash(buildPrompt('poison'), 99, trialMs + 100);
  assert.equal(isRefused(tracker, 'poison', trialMs + 100 + 2 * FIRST_TRIAL_MS - 1), true);
  assert.equal(isRefused(tracker, 'poison', trialMs + 100 + 2 * FIRST_TRIAL_MS), false);
  tracker.recordAnswer(buildPrompt('poison'), trialMs + 200 + 2 * FIRST_TRIAL_MS);
  assert.equal(isRefused(tracker, 'poison', trialMs + 300 + 2 * FIRST_TRIAL_MS, isNoVm), false);
});

test('evidence that is repeated, reordered and in part lost leads to the same refusals', () => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(fc.nat(3), fc.nat(2), fc.boolean()), { maxLength: 12 }),
      fc.infiniteStream(fc.nat(99)),
      (events, order) => {
        const sender = new PartCrashTracker();
        const messages = events.flatMap(([part, prompt, isAnswer], index) => {
          const nowMs = index * SECOND_MS;
          const parts = buildPrompt(`p${part} q${prompt}`);
          if (isAnswer) sender.recordAnswer(parts, nowMs);
          else sender.recordCrash(parts, index, nowMs);
          return [sender.collectUnsent(nowMs)];
        });
        const endMs = events.length * SECOND_MS;
        const shuffled = [...messages, ...messages]
          .map((message) => ({ message, rank: Number(order.next().value) }))
          .sort((a, b) => a.rank - b.rank);
        const receiver = new PartCrashTracker();
        for (const { message, rank } of shuffled) {
          if (rank % 5 > 0) receiver.addEvidence(message, endMs);
        }
        receiver.addEvidence(sender.listEvidence(endMs), endMs);
        assert.deepEqual([...receiver.refused.keys()], [...sender.refused.keys()]);
      },
    ),
  );
});

// A part went on being refused by one VM: cleared parts were not sent again.
test('a VM that has missed all messages of an answer stops refusing once it tells of the part', () => {
  const [informed, cutOff] = [new PartCrashTracker(), new PartCrashTracker()];
  recordCrashes(informed, [['system poison'], ['system poison']]);
  cutOff.addEvidence(informed.collectUnsent(SECOND_MS), SECOND_MS);
  informed.recordAnswer(buildPrompt('system poison'), 2 * SECOND_MS);
  for (let nowMs = 2 * SECOND_MS; informed.hasUnsent; nowMs += 50) informed.collectUnsent(nowMs);
  assert.equal(isRefused(cutOff, 'system poison', 9 * SECOND_MS), true);
  informed.addEvidence(cutOff.collectUnsent(9 * SECOND_MS), 9 * SECOND_MS);
  cutOff.addEvidence(informed.collectUnsent(9 * SECOND_MS), 9 * SECOND_MS);
  assert.equal(isRefused(cutOff, 'system poison', 9 * SECOND_MS), false);
});

test('a VM that starts after the crashes learns within two seconds what is refused', () => {
  const tracker = new PartCrashTracker();
  recordCrashes(tracker, [['system poison'], ['system poison']]);
  for (let nowMs = SECOND_MS; nowMs < 20 * SECOND_MS; nowMs += 50) tracker.collectUnsent(nowMs);
  const starting = new PartCrashTracker();
  for (let nowMs = 20_000; nowMs < 22_000; nowMs += 50) {
    starting.addEvidence(tracker.collectUnsent(nowMs), nowMs);
  }
  assert.equal(isRefused(starting, 'system poison', 22_000), true);
});

test('the memory of the tracker is bounded', () => {
  const tracker = new PartCrashTracker();
  for (let index = 0; index < 3_000; index += 1) {
    tracker.recordCrash(buildPrompt(`part-${index}`), index, index * 10);
  }
  assert.ok(tracker.listEvidence(30_000).length <= 1_024);
});

// One entry was removed for all parts of a prompt, so prompts of many parts used up the memory of the VMs.
test('the number of parts that were answered is bounded, however many a prompt has', () => {
  const tracker = new PartCrashTracker();
  const parts = Array.from({ length: 3_000 }, (_, index) => `a${index}`).join(' ');
  for (let prompt = 0; prompt < 4; prompt += 1)
    tracker.recordAnswer(buildPrompt(parts.replaceAll('a', `p${prompt}-`)), prompt);
  assert.ok(tracker.answeredCount <= 4_096, `${tracker.answeredCount} parts`);
});
