import assert from 'node:assert/strict';
import { test } from 'node:test';

import { HeldAnswers } from './HeldAnswers.js';

test('the largest answers are cancelled when all together exceed the limit', () => {
  const held = new HeldAnswers(100);
  const cancelled: string[] = [];
  const buildCancel = (name: string) => (): void => {
    cancelled.push(name);
  };
  const small = buildCancel('small');
  const large = buildCancel('large');
  held.add(small, 10);
  held.add(large, 60);
  held.add(large, 20);
  assert.deepEqual([held.totalBytes, cancelled], [90, []]);
  held.add(small, 15);
  assert.deepEqual([held.totalBytes, cancelled], [25, ['large']]);
  held.remove(small);
  held.remove(large);
  assert.equal(held.totalBytes, 0);
});
