import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { createFrameEncoder, FrameDecoder, MAX_FRAME_BYTES } from './tunnelFrames.js';

/** Encodes chunks; an encoder whose worker has not ended in order fails. */
const encodeChunks = async (chunks: readonly Buffer[], isOrderly: boolean): Promise<Buffer> => {
  const encoder = createFrameEncoder(() => isOrderly);
  const frames: Buffer[] = [];
  encoder.on('data', (frame: Buffer) => frames.push(frame));
  await new Promise((resolve) => {
    encoder.once('end', resolve);
    encoder.once('error', resolve);
    for (const chunk of chunks) encoder.write(chunk);
    encoder.end();
  });
  return Buffer.concat(frames);
};

/** Decodes frames that arrive in chunks of this size. */
const decodeChunks = (
  frames: Buffer,
  size: number,
): { readonly bytes: Buffer; readonly hasEnded: boolean } => {
  const decoder = new FrameDecoder();
  const bytes: Buffer[] = [];
  let hasEnded = false;
  for (let start = 0; start < frames.length; start += size) {
    const decoded = decoder.push(frames.subarray(start, start + size));
    bytes.push(...decoded.bytes);
    ({ hasEnded } = decoded);
  }
  return { bytes: Buffer.concat(bytes), hasEnded };
};

// Guards against bytes that are lost or a missed end when frames arrive in pieces.
test('frames that arrive in any pieces yield the bytes of the worker and its end', async () => {
  const chunks = fc.array(fc.uint8Array({ minLength: 1, maxLength: 40 }), { maxLength: 8 });
  const size = fc.integer({ min: 1, max: 50 });
  const property = fc.asyncProperty(
    chunks,
    fc.boolean(),
    size,
    async (arrays, isOrderly, piece) => {
      const buffers = arrays.map((array) => Buffer.from(array));
      const decoded = decodeChunks(await encodeChunks(buffers, isOrderly), piece);
      assert.deepEqual(decoded, { bytes: Buffer.concat(buffers), hasEnded: isOrderly });
    },
  );
  await fc.assert(property, { numRuns: 200 });
});

test('a chunk that exceeds the size of a frame is split', async () => {
  const chunk = Buffer.alloc(MAX_FRAME_BYTES + 1, 'x');
  const decoded = decodeChunks(await encodeChunks([chunk], true), 65_536);
  assert.deepEqual([decoded.bytes.length, decoded.hasEnded], [chunk.length, true]);
});

// Guards against the bytes of another protocol being taken for frames.
test('bytes that are no frames are refused', () => {
  assert.throws(() => new FrameDecoder().push(Buffer.from('HTTP/1.1 200 OK\r\n\r\n')), /exceeds/);
});
