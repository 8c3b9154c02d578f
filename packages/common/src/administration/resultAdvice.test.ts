import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { HTTP_STATUS, ResultCode } from '../errors/index.js';
import { RESULT_ADVICE } from './resultAdvice.js';

const PAGE = new URL('../../../../docs/RESULT-CODES.md', import.meta.url);

const readRows = (): readonly (readonly string[])[] =>
  readFileSync(PAGE, 'utf8')
    .split('\n')
    .filter((line) => /^\| \d{4} /.test(line))
    .map((line) =>
      line
        .split('|')
        .slice(1, -1)
        .map((cell) => cell.trim()),
    );

test('docs/RESULT-CODES.md lists each code with name, status, meaning and next step', () => {
  const codes = Object.values(ResultCode).filter((code) => typeof code === 'number');
  const expected = codes.map((code) => {
    const { meaning, nextStep } = RESULT_ADVICE[code];
    return [String(code), ResultCode[code], String(HTTP_STATUS[code]), meaning, nextStep];
  });
  assert.deepEqual(readRows(), expected);
});
