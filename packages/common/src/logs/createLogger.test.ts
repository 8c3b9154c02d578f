import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { ResultCode, SardinegradeError } from '../errors/index.js';
import { createLogger } from './createLogger.js';
import { LogFormat, LogLevel } from './enums.js';

import type { LogFields } from './types.js';

const collectLines = (format: LogFormat, fields: LogFields = {}) => {
  const lines: string[] = [];
  const output = { write: (line: string) => lines.push(line) };
  return { lines, logger: createLogger({ level: LogLevel.Info, format, output, fields }) };
};

test('JSON lines carry the documented fields and nothing below the level', () => {
  const { lines, logger } = collectLines(LogFormat.Json, { vm: 'vm-1' });
  const requestLogger = logger.withFields({ requestId: 'r1', className: 'query' });
  requestLogger.debug('hidden');
  requestLogger.warn('refused', { workspace: 'rig-desk', code: ResultCode.Overloaded });
  assert.equal(lines.length, 1);
  const { time, ...rest } = JSON.parse(lines[0] ?? '') as Record<string, unknown>;
  assert.match(String(time), /^\d{4}-\d\d-\d\dT/);
  assert.deepEqual(rest, {
    level: 'warn',
    message: 'refused',
    request_id: 'r1',
    class: 'query',
    workspace: 'rig-desk',
    code: 2001,
    vm: 'vm-1',
  });
});

test('text lines show the fields as pairs', () => {
  const { lines, logger } = collectLines(LogFormat.Text);
  logger.error('attempt failed', {
    upstream: 'engine-1',
    error: new SardinegradeError(ResultCode.UpstreamFailed, 'connection reset'),
  });
  assert.match(lines[0] ?? '', /ERROR attempt failed error="SardinegradeError: .*code=3001/);
});

test('keys and fields that are not declared are never written', () => {
  const { lines, logger } = collectLines(LogFormat.Json);
  const undeclared = { requestId: 'r1', body: 'secret-body', authorization: 'secret' };
  logger.info('got Bearer abc123 and sk-abcdefgh1234', undeclared);
  assert.doesNotMatch(lines.join(''), /secret|abc123|abcdefgh/);
});

test('no text breaks a line in two', () => {
  const property = fc.property(fc.string({ unit: 'binary' }), fc.string(), (message, requestId) => {
    for (const format of Object.values(LogFormat)) {
      const { lines, logger } = collectLines(format);
      logger.info(message, { requestId });
      assert.equal(lines.length, 1);
      assert.equal((lines[0] ?? '').split(/[\n\r\u0085\u2028\u2029]/).length, 2);
    }
  });
  fc.assert(property, { seed: 7, numRuns: 300 });
});

test('equal lines in quick succession are all written', () => {
  const { lines, logger } = collectLines(LogFormat.Text);
  for (let count = 0; count < 20; count += 1) logger.info('same');
  assert.equal(lines.length, 20);
});
