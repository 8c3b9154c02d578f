import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createMemoryPlatform } from '@sardinegrade/platform';
import fc from 'fast-check';

import { ConfigurationError } from '../errors.js';
import { DrainScope } from '../enums.js';
import { ConfigurationConflictError } from './ConfigurationConflictError.js';
import { ConfigurationStore } from './ConfigurationStore.js';
import { CONFIGURATION_KIND, CONFIGURATION_NAME } from './constants.js';
import { decodeRecord } from './recordCodec.js';

import type { MemoryPlatform } from '@sardinegrade/platform';

const SEED = 20261204;
const CLOCK = { getNowMs: () => 1_000 };

const createText = (weight: number): string =>
  `[workspace.desk]\nkey_sha256[] = ${'a'.repeat(64)}\nweight = ${weight}\n`;

const createStore = (platform: MemoryPlatform, highest = 0): ConfigurationStore =>
  new ConfigurationStore({
    platform,
    clock: CLOCK,
    getHighestGeneration: () => highest,
    confirm: { sleepMs: () => Promise.resolve() },
  });

const createChange = (baseGeneration: number, weight: number, changeId = `change-${weight}`) => ({
  baseGeneration,
  author: 'ann',
  changeId,
  text: createText(weight),
});

const DRAIN = { scope: DrainScope.Vm, name: 'vm-1', author: 'ann', sinceMs: 1 };

test('each change increases the generation by one, and an invalid text is rejected', async () => {
  const store = createStore(createMemoryPlatform());
  assert.equal((await store.apply(createChange(0, 1))).generation, 1);
  assert.equal((await store.apply(createChange(1, 2))).generation, 2);
  await assert.rejects(store.apply({ ...createChange(2, 3), text: 'x = 1' }), ConfigurationError);
});

test('a conflict error contains both generations and the diff', async () => {
  const store = createStore(createMemoryPlatform());
  await store.apply(createChange(0, 1));
  await store.apply(createChange(1, 2));
  await assert.rejects(store.apply(createChange(1, 3)), (error: unknown) => {
    assert.ok(error instanceof ConfigurationConflictError);
    assert.equal(error.baseGeneration, 1);
    assert.equal(error.current.generation, 2);
    assert.match(error.difference, /-weight = 2\n\+weight = 3/);
    return true;
  });
});

test('a change that is sent again after its answer was lost returns the generation it created', async () => {
  const platform = createMemoryPlatform();
  const store = createStore(platform);
  const first = await store.apply(createChange(0, 1));
  assert.deepEqual(await store.apply(createChange(0, 1)), first);
  await store.apply(createChange(1, 2));
  assert.deepEqual(await store.apply(createChange(0, 1)), first);
});

test('restoring a generation creates a new generation with the old text', async () => {
  const store = createStore(createMemoryPlatform());
  await store.apply(createChange(0, 1));
  await store.apply(createChange(1, 2));
  const change = { baseGeneration: 2, author: 'ann', changeId: 'back' };
  const record = await store.applyGeneration(1, change);
  assert.equal(record.generation, 3);
  assert.equal(record.text, createText(1));
  const history = await store.listHistory(Number.MAX_SAFE_INTEGER, 10);
  assert.deepEqual(
    history.map((kept) => kept.generation),
    [3, 2, 1],
  );
  await assert.rejects(store.applyGeneration(9, change), /not in the history/);
});

test('a new generation is higher than any in the fleet, even if the platform has lost some', async () => {
  const store = createStore(createMemoryPlatform(), 41);
  assert.equal((await store.apply(createChange(41, 1))).generation, 42);
});

test('a drain mark creates a generation and does not conflict with a change of the text', async () => {
  const store = createStore(createMemoryPlatform());
  await store.apply(createChange(0, 1));
  const drained = await store.setDrain({ drain: DRAIN, isDraining: true, changeId: 'd1' });
  assert.deepEqual([drained.generation, drained.textGeneration], [2, 1]);
  const again = await store.setDrain({ drain: DRAIN, isDraining: true, changeId: 'd2' });
  assert.equal(again.generation, 2);
  const changed = await store.apply(createChange(1, 2));
  assert.deepEqual(changed.drains, [DRAIN]);
  const cleared = await store.setDrain({ drain: DRAIN, isDraining: false, changeId: 'd3' });
  assert.deepEqual([cleared.generation, cleared.drains.length], [4, 0]);
});

test('concurrent edits with lost answers: each generation has one author, each success is in the history', async () => {
  const edit = fc.record({ writer: fc.nat(3), weight: fc.integer({ min: 1, max: 900 }) });
  const property = fc.asyncProperty(
    fc.array(edit, { minLength: 2, maxLength: 12 }),
    fc.infiniteStream(fc.double({ min: 0, max: 0.999, noNaN: true })),
    async (edits, chances) => {
      const getRandom = (): number => Number(chances.next().value);
      const behaviour = { loseAnswers: 0.2, loseWrites: 0.1 };
      const platform = createMemoryPlatform({ random: getRandom, behaviour });
      const store = createStore(platform);
      const accepted = new Map<number, string>();
      let base = 0;
      const apply = async (weight: number, index: number): Promise<void> => {
        const change = createChange(base, weight, `edit-${index}`);
        const record = await store.apply(change).catch(() => undefined);
        if (record === undefined) return;
        assert.equal(record.text, change.text);
        assert.equal(accepted.get(record.generation), undefined);
        accepted.set(record.generation, record.text);
      };
      for (let index = 0; index < edits.length; index += 2) {
        const pair = edits.slice(index, index + 2);
        await Promise.all(pair.map(({ weight }, offset) => apply(weight, index + offset)));
        platform.setBehaviour({ loseAnswers: 0, loseWrites: 0 });
        const object = await platform.read(CONFIGURATION_KIND, CONFIGURATION_NAME);
        const generation = decodeRecord(object?.value)?.generation ?? 0;
        assert.ok(generation >= base);
        base = generation;
        platform.setBehaviour(behaviour);
      }
      platform.setBehaviour({ loseAnswers: 0, loseWrites: 0 });
      const history = await store.listHistory(Number.MAX_SAFE_INTEGER, 50);
      for (const [generation, text] of accepted) {
        assert.equal(history.find((kept) => kept.generation === generation)?.text, text);
      }
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 60 });
});
