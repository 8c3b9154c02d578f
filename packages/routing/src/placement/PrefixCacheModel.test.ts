import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';

import { MAX_CACHED_PARTS, PrefixCacheModel } from './PrefixCacheModel.js';

import type { PartId } from './types.js';

// Guards against small parts, of which the tokens of a cache hold hundreds of thousands.
test('the number of parts of a cache is bounded, and the newest ones are kept', () => {
  const cache = new PrefixCacheModel(654_473);
  const count = 2 * MAX_CACHED_PARTS;
  const parts = Array.from({ length: count }, (_, index) => ({
    id: toBranded<PartId>(`p${index}`),
    tokens: 1,
  }));
  cache.record(parts);
  assert.equal(cache.list().length, MAX_CACHED_PARTS);
  assert.equal(cache.countCachedTokens(parts.slice(-1)), 1);
});
