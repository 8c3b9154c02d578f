import assert from 'node:assert/strict';
import { test } from 'node:test';

import { ByteCollector } from './ByteCollector.js';

const READ_BYTES = 64 * 1_024;

// Guards against a body in one-byte chunks that needs hundreds of bytes for each, or retains whole reads.
test('small chunks need at most twice their bytes, and are put together in order', () => {
  const collector = new ByteCollector();
  const read = Buffer.from(Array.from({ length: READ_BYTES }, (_, index) => index % 251));
  for (let index = 0; index < read.length; index += 1)
    collector.add(read.subarray(index, index + 1));
  assert.equal(collector.bytes, READ_BYTES);
  // The first chunk is kept as it is, and so its read is.
  assert.ok(collector.heldBytes - READ_BYTES <= 2 * READ_BYTES, `${collector.heldBytes} bytes`);
  assert.ok(Buffer.concat(collector.takePieces()).equals(read));
  assert.equal(collector.heldBytes, 0);
});

test('chunks of any sizes are put together in order, and what is held is at least their bytes', () => {
  const collector = new ByteCollector();
  const sizes = [1, 3, 5_000, 10, 4_096, 4_095, 0, 70_000, 2];
  const chunks = sizes.map((size, index) => Buffer.alloc(size, index));
  const added = chunks.map((chunk) => collector.add(chunk));
  const heldBytes = added.reduce((sum, bytes) => sum + bytes, 0);
  assert.equal(heldBytes, collector.heldBytes);
  assert.ok(heldBytes >= collector.bytes);
  assert.ok(Buffer.concat(collector.takePieces()).equals(Buffer.concat(chunks)));
});
