import assert from 'node:assert/strict';
import { test } from 'node:test';

import { runDemo } from './runDemo.js';

test('the demonstration serves all requests and executes the repeated booking once', async () => {
  const lines: string[] = [];
  const options = { port: 0, logLevel: 'error', shouldKeepRunning: false };
  const ok = await runDemo(options, (line) => lines.push(line));
  assert.equal(ok, true, lines.join('\n'));
  const summary = JSON.parse(lines.at(-1) ?? '') as { bookings_carried_out: number; ok: boolean };
  assert.equal(summary.bookings_carried_out, 1);
  assert.equal(summary.ok, true);
});
