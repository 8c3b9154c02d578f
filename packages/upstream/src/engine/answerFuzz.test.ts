import assert from 'node:assert/strict';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import fc from 'fast-check';

import { AnswerReader } from './AnswerReader.js';

import type { TokenEvent } from './types.js';

const SEED = 7;

const ATTEMPT_ID = 'a1';

const buildEvent = (number: number, text: string, attemptId = ATTEMPT_ID): string => {
  const choices = [{ index: 0, delta: { content: text } }];
  return `id: ${number}\ndata: ${JSON.stringify({ attempt_id: attemptId, choices })}\n\n`;
};

const FINISH_EVENT = `data: ${JSON.stringify({ choices: [{ delta: {}, finish_reason: 'stop' }] })}\n\n`;

const arbitraryFrame = fc.oneof(
  fc.tuple(fc.nat(6), fc.string()).map(([number, text]) => buildEvent(number, text)),
  fc.tuple(fc.nat(6), fc.string()).map(([number, text]) => buildEvent(number, text, 'other')),
  fc.json().map((text) => `data: ${text}\n\n`),
  fc.string({ unit: 'binary' }),
  fc.constantFrom(
    FINISH_EVENT,
    'data: [DONE]\n\n',
    ':\n\n',
    'id: -1\n',
    'event: x\n',
    'retry: 1\n\n',
    '\r\r',
  ),
);

/** Splits bytes into chunks, as a network may. */
const splitBytes = (bytes: Buffer, size: number): readonly Buffer[] => {
  const chunks: Buffer[] = [];
  for (let start = 0; start < bytes.length; start += size) {
    chunks.push(bytes.subarray(start, start + size));
  }
  return chunks;
};

const readAnswer = (bytes: Buffer, size: number, resumeAt = 0) => {
  const tokens: TokenEvent[] = [];
  const reader = new AnswerReader(toBranded(ATTEMPT_ID), resumeAt, (event) => tokens.push(event));
  for (const chunk of splitBytes(bytes, size)) reader.push(chunk);
  return { reader, tokens };
};

test('for any engine output, the tokens passed on are numbered without gaps or repeats', () => {
  const property = fc.property(
    fc.array(arbitraryFrame, { maxLength: 20 }),
    fc.integer({ min: 1, max: 64 }),
    fc.nat(3),
    (frames, size, resumeAt) => {
      const bytes = Buffer.from(frames.join(''));
      const { reader, tokens } = readAnswer(bytes, size, resumeAt);
      for (const [index, { number }] of tokens.entries()) assert.equal(number, resumeAt + index);
      if (!reader.isComplete) return;
      assert.ok(frames.join('').includes('[DONE]'));
      assert.equal(reader.fault, undefined);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 2_000 });
});

test('random bytes are never read as a complete answer', () => {
  const property = fc.property(fc.uint8Array({ maxLength: 400 }), fc.nat(16), (bytes, size) => {
    const { reader, tokens } = readAnswer(Buffer.from(bytes), size + 1);
    assert.equal(reader.isComplete, false);
    assert.deepEqual(tokens, []);
  });
  fc.assert(property, { seed: SEED, numRuns: 1_000 });
});

test('an answer that is cut off before the end of its closing marker is not complete', () => {
  const texts = fc.array(fc.string({ minLength: 1 }), { minLength: 1, maxLength: 6 });
  const property = fc.property(
    texts,
    fc.double({ min: 0, max: 1, noNaN: true }),
    (parts, share) => {
      const whole = Buffer.from(
        `${parts.map((text, number) => buildEvent(number, text)).join('')}${FINISH_EVENT}data: [DONE]\n\n`,
      );
      assert.equal(readAnswer(whole, 7).reader.isComplete, true);
      // The last byte is the second line break that ends the marker's event.
      const cut = whole.subarray(0, Math.floor(share * (whole.length - 1)));
      assert.equal(readAnswer(cut, 7).reader.isComplete, false);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 500 });
});
