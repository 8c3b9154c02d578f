import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { createMemoryPlatform } from './memory/index.js';
import { PlatformError, PlatformFailure } from './PlatformError.js';
import { WriteOutcome } from './types.js';
import { writeConfirmed } from './writeConfirmed.js';

import type { ObjectWrite } from './types.js';

const NO_WAIT = { sleepMs: () => Promise.resolve(), random: () => 0 };

const createWrite = (changeId: string, ifVersion = 0): ObjectWrite => ({
  kind: 'order',
  name: 'a',
  ifVersion,
  changeId,
  value: { changeId },
});

test('a write whose response is lost is confirmed by its change id', async () => {
  const platform = createMemoryPlatform({ behaviour: { loseAnswers: 1 } });
  const result = await writeConfirmed(platform, createWrite('one'), NO_WAIT);
  assert.deepEqual(result, { outcome: WriteOutcome.Written, version: 1 });
  assert.equal(platform.getCounts().writes, 1);
});

test('a write that is lost before it takes effect is sent again under the same condition', async () => {
  const chances = [0, 0.9];
  const platform = createMemoryPlatform({
    behaviour: { loseWrites: 0.5 },
    random: () => chances.shift() ?? 0.9,
  });
  const result = await writeConfirmed(platform, createWrite('one'), NO_WAIT);
  assert.equal(result.outcome, WriteOutcome.Written);
  assert.equal(platform.getCounts().writes, 2);
});

test('a conflict after a lost response reports that the write may have taken effect', async () => {
  const platform = createMemoryPlatform({ behaviour: { loseAnswers: 1 } });
  const client = {
    ...platform,
    read: async (kind: string, name: string) => {
      platform.setBehaviour({ loseAnswers: 0 });
      await platform.write(createWrite('two', 1));
      return platform.read(kind, name);
    },
  };
  const result = await writeConfirmed(client, createWrite('one'), NO_WAIT);
  assert.ok(result.outcome === WriteOutcome.Conflict);
  assert.equal(result.mayHaveTakenEffect, true);
  assert.equal(result.current?.changeId, 'two');
});

test('an outage after a lost response leaves the write uncertain', async () => {
  const platform = createMemoryPlatform({ behaviour: { loseAnswers: 1 } });
  const client = {
    ...platform,
    read: async (kind: string, name: string) => {
      platform.setBehaviour({ outage: true });
      return platform.read(kind, name);
    },
  };
  await assert.rejects(writeConfirmed(client, createWrite('one'), NO_WAIT), (error) => {
    assert.ok(error instanceof PlatformError);
    assert.equal(error.failure, PlatformFailure.Uncertain);
    return true;
  });
});

test('of concurrent creators only the one whose object is stored gets a written result, whatever is lost', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { minLength: 1, maxLength: 40 }),
      fc.integer({ min: 2, max: 5 }),
      async (chances, writers) => {
        let index = 0;
        const platform = createMemoryPlatform({
          behaviour: { loseAnswers: 0.3, loseWrites: 0.2 },
          random: () => chances[index++ % chances.length] ?? 1,
        });
        const results = await Promise.allSettled(
          Array.from({ length: writers }, (_, writer) =>
            writeConfirmed(platform, createWrite(`writer-${writer}`), NO_WAIT),
          ),
        );
        const currentChangeId = (await platform.read('order', 'a'))?.changeId;
        for (const [writer, result] of results.entries()) {
          if (result.status === 'rejected') continue;
          const isWinner = currentChangeId === `writer-${writer}`;
          assert.equal(result.value.outcome === WriteOutcome.Written, isWinner);
        }
      },
    ),
    { seed: 7, numRuns: 200 },
  );
});
