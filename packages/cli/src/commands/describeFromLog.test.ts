import assert from 'node:assert/strict';
import { test } from 'node:test';

import { describeFromLog } from './describeFromLog.js';

const buildLine = (second: number, fields: Readonly<Record<string, unknown>>): string =>
  JSON.stringify({ time: new Date(second * 1_000).toISOString(), level: 'info', ...fields });

const LOG = [
  buildLine(20, { message: 'request refused at arrival', vm: 'vm-2', request_id: 'other' }),
  `collector: ${buildLine(12, { message: 'send failed', vm: 'vm-1', request_id: 'r1', failure: 'broken' })}`,
  buildLine(11, { message: 'worker gone', vm: 'vm-1', upstream: 'w1' }),
  buildLine(11, { message: 'worker gone', vm: 'vm-2', upstream: 'w1' }),
  buildLine(1, { message: 'started', vm: 'vm-1' }),
  buildLine(13, {
    message: 'request ended without a whole answer',
    vm: 'vm-1',
    request_id: 'r1',
    code: 3001,
  }),
  'a line of another program {',
].join('\n');

test('a request is described by its log lines in time order and the state changes on its VM around them', () => {
  const { text } = describeFromLog('r1', LOG);
  const lines = text.split('\n');
  assert.match(lines[0] ?? '', /-1\.000 {3}vm-1: worker gone {2}upstream=w1/);
  assert.match(lines[1] ?? '', /0\.000 \* vm-1: send failed {2}failure=broken/);
  assert.match(lines[2] ?? '', /1\.000 \* vm-1: request ended without a whole answer/);
  assert.match(text, /Code 3001: /);
  assert.doesNotMatch(text, /vm-2|started/);
});

test('a request id that no log line contains is reported as not found', () => {
  assert.throws(() => describeFromLog('r9', LOG), /No line of the log names request 'r9'/);
});
