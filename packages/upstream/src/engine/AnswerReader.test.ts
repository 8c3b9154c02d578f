import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { AnswerReader } from './AnswerReader.js';

import type { AttemptId } from '@sardinegrade/common';

const ATTEMPT_ID = 'attempt-1' as AttemptId;
const SEED = 20261204;

const buildEvent = (number: number, text: string, attemptId: string = ATTEMPT_ID): string => {
  const choice = { index: 0, delta: { content: text }, finish_reason: null };
  return `id: ${number}\ndata: ${JSON.stringify({ attempt_id: attemptId, choices: [choice] })}\n\n`;
};

const buildClosing = (): string => {
  const choice = { index: 0, delta: {}, finish_reason: 'stop' };
  return `data: ${JSON.stringify({ attempt_id: ATTEMPT_ID, choices: [choice] })}\n\ndata: [DONE]\n\n`;
};

const readStream = (text: string, resumeAt = 0, cutPositions: readonly number[] = []) => {
  const tokens: string[] = [];
  const reader = new AnswerReader(ATTEMPT_ID, resumeAt, (event) => tokens.push(event.text));
  const bytes = Buffer.from(text);
  let start = 0;
  for (const cut of [...cutPositions.map((at) => at % (bytes.length + 1)), bytes.length].sort(
    (a, b) => a - b,
  )) {
    reader.push(bytes.subarray(start, cut));
    start = cut;
  }
  return { reader, tokens };
};

test('an answer is read completely however its bytes are split', () => {
  const property = fc.property(
    fc.array(fc.string({ minLength: 1, unit: 'grapheme' }), { maxLength: 12 }),
    fc.array(fc.nat()),
    (texts, cuts) => {
      const stream =
        texts.map((text, number) => buildEvent(number, text)).join('') + buildClosing();
      const { reader, tokens } = readStream(stream, 0, cuts);
      assert.deepEqual(tokens, texts);
      assert.equal(reader.isComplete, true);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 200 });
});

test('events of another attempt are dropped', () => {
  const stream = buildEvent(0, 'a') + buildEvent(1, 'THEIRS', 'attempt-2') + buildEvent(1, 'b');
  const { reader, tokens } = readStream(stream + buildClosing());
  assert.deepEqual(tokens, ['a', 'b']);
  assert.equal(reader.isComplete, true);
});

test('a repeated token is dropped and a gap is a fault', () => {
  const { reader, tokens } = readStream(
    buildEvent(5, 'a') + buildEvent(5, 'a') + buildEvent(7, 'c') + buildClosing(),
    5,
  );
  assert.deepEqual(tokens, ['a']);
  assert.match(reader.fault ?? '', /skipped from token 6 to 7/);
  assert.equal(reader.isComplete, false);
});

test('an answer without its closing marker or finish reason is not complete', () => {
  assert.equal(readStream(buildEvent(0, 'a')).reader.isComplete, false);
  assert.equal(readStream(buildEvent(0, 'a') + 'data: [DONE]\n\n').reader.isComplete, false);
});

test('an event that is not a completion chunk is a fault', () => {
  for (const data of ['{', '[]', '{"choices":[]}', '{"choices":{}}', 'null']) {
    assert.notEqual(readStream(`data: ${data}\n\n`).reader.fault, undefined, data);
  }
});
