import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { normalizeParts } from './normalizeParts.js';

import type { PartId, PromptPart } from './types.js';

/** Parts of a head of 16,384 bytes at most: `1:1,` each. */
const MAX_PARTS = 4_096;
const MAX_MERGED_PARTS = 128;

const buildParts = (count: number, own: string): readonly PromptPart[] => [
  ...Array.from({ length: count }, (_, index) => ({
    id: toBranded<PartId>(`p${index}`),
    tokens: 16,
  })),
  { id: toBranded<PartId>(own), tokens: 5 },
];

const countTokens = (parts: readonly PromptPart[]): number =>
  parts.reduce((sum, { tokens }) => sum + tokens, 0);

test('prompts of few parts are kept as they are', () => {
  const parts = buildParts(20, 'own');
  assert.deepEqual(normalizeParts(parts), parts);
});

// Guards against tables and decisions that grow with the number of parts that a client lists.
test('prompts of many parts become few with as many tokens', () => {
  const parts = buildParts(MAX_PARTS, 'own');
  const merged = normalizeParts(parts);
  assert.ok(merged.length <= MAX_MERGED_PARTS, `${merged.length} parts`);
  assert.equal(countTokens(merged), countTokens(parts));
  assert.equal(merged.at(-1)?.id, 'own');
});

// Guards against prompts that lose the cache of what they share.
test('prompts that share leading parts share most of their merged ones', () => {
  const first = normalizeParts(buildParts(1_000, 'first'));
  const second = normalizeParts(buildParts(1_200, 'second'));
  let sharedTokens = 0;
  for (const [index, { id, tokens }] of first.entries()) {
    if (second[index]?.id !== id) break;
    sharedTokens += tokens;
  }
  assert.ok(sharedTokens >= 0.5 * countTokens(first), `${sharedTokens} tokens`);
});
