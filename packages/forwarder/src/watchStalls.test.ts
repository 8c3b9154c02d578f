import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createLogger, LogFormat, LogLevel } from '@sardinegrade/common';

import { watchStalls } from './watchStalls.js';

test('a stall of the process is logged with its duration', async () => {
  const lines: string[] = [];
  const output = { write: (line: string) => lines.push(line) };
  const logger = createLogger({ level: LogLevel.Info, format: LogFormat.Json, output });
  const stop = watchStalls({ logger, getNowMs: () => performance.now() });
  await new Promise((resolve) => setTimeout(resolve, 1_200));
  assert.equal(lines.length, 0);
  const endAtMs = performance.now() + 1_200;
  while (performance.now() < endAtMs);
  await new Promise((resolve) => setTimeout(resolve, 700));
  stop();
  const [line] = lines;
  assert.ok(line !== undefined);
  const entry = JSON.parse(line) as { message: string; duration_ms: number };
  assert.equal(entry.message, 'process was suspended or blocked');
  assert.ok(entry.duration_ms >= 600, line);
});
