import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { decodeTrace, encodeTrace } from './traceBytes.js';

test('a sampled trace is encoded in 24 bytes and decoded unchanged, any other in none', () => {
  const bytes = fc.uint8Array({ minLength: 24, maxLength: 24 });
  const property = fc.property(bytes, (array) => {
    const trace = decodeTrace(Buffer.from(array));
    assert.equal(trace?.isSampled, true);
    assert.deepEqual(encodeTrace(trace), Buffer.from(array));
    assert.equal(encodeTrace({ ...trace, isSampled: false }).length, 0);
  });
  fc.assert(property, { seed: 7 });
  assert.equal(encodeTrace(undefined).length, 0);
});

test('bytes of any other length are decoded as no trace', () => {
  const bytes = fc.uint8Array({ maxLength: 64 }).filter((array) => array.length !== 24);
  const property = fc.property(bytes, (array) => {
    assert.equal(decodeTrace(Buffer.from(array)), undefined);
  });
  fc.assert(property, { seed: 7 });
});
