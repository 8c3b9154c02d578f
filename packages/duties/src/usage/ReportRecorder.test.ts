import assert from 'node:assert/strict';
import { test } from 'node:test';

import { createLogger, LogFormat, LogLevel, LogLimit, toBranded } from '@sardinegrade/common';

import { FleetClock } from './FleetClock.js';
import { ReportRecorder } from './ReportRecorder.js';

import type { DutyRecord, DutyStore } from '../types.js';
import type { WorkspaceCounts } from './types.js';

const WINDOW_MS = 5_000;
const COUNTS: WorkspaceCounts = new Map([[toBranded('hule930'), 412]]);

/** A recorder at the beginning of window 100, with a store whose next write can be accompanied by a restore. */
const createRecorder = (object?: DutyRecord) => {
  const state = { object, era: 1, writtenInEra: 1, result: 8 as number | undefined, wallMs: 0 };
  const store: DutyStore = {
    getEra: () => state.era,
    read: () => Promise.resolve(state.object),
    write: (_name, value) => {
      if (state.result !== undefined) state.object = { value, version: state.result };
      state.era = state.writtenInEra;
      return Promise.resolve(state.result);
    },
  };
  const getWallMs = (): number => state.wallMs;
  const clock = new FleetClock({ getNowMs: () => 0, getWallMs, roundMs: WINDOW_MS / 2 });
  clock.setTime(100 * WINDOW_MS);
  const lines: string[] = [];
  const output = { write: (line: string) => lines.push(line) };
  const logger = createLogger({ level: LogLevel.Info, format: LogFormat.Json, output });
  const logLimit = new LogLimit(() => 0);
  const recorder = new ReportRecorder({ store, clock, windowMs: WINDOW_MS, logger, logLimit });
  return { state, recorder, lines };
};

const buildValue = (era: number, window: number, count: number): unknown => ({
  era,
  highest_window: window,
  reports: [{ window_seq: window, counts: { hule930: count } }],
});

test('a successor repeats what is recorded, and goes on above it', async () => {
  const { recorder } = createRecorder({ value: buildValue(1, 98, 412), version: 7 });
  assert.equal((await recorder.read()).highestWindow, 98);
  assert.deepEqual([...recorder.listReports()], [[98, COUNTS]]);
  assert.equal(await recorder.add(new Map([[99, COUNTS]])), true);
  assert.deepEqual([...recorder.listReports().keys()].sort(), [98, 99]);
});

// Guards against a second content: others may have sent reports that the restored store lacks.
test('a record of an earlier era is not repeated, and no window is reported that had ended', async () => {
  const { recorder } = createRecorder({ value: buildValue(0, 97, 412), version: 7 });
  assert.equal((await recorder.read()).highestWindow, 99);
  assert.equal(recorder.listReports().size, 0);
  assert.equal(await recorder.add(new Map([[100, COUNTS]])), true);
  assert.deepEqual([...recorder.listReports().keys()], [100]);
});

// Guards against a second content from a VM that was suspended before it became the holder: its fleet time is behind.
test('after a restore, a VM that may have been suspended reports no window that may have ended', async () => {
  const { recorder, state } = createRecorder({ value: buildValue(0, 97, 412), version: 7 });
  state.wallMs += 8_000;
  assert.equal((await recorder.read()).highestWindow, 102);
});

// Guards against a report whose record has replaced what another VM has recorded since the restore.
test('a write that a restore has overtaken does not count as a record', async () => {
  const { recorder, state } = createRecorder({ value: buildValue(1, 98, 412), version: 7 });
  await recorder.read();
  state.writtenInEra = 2;
  assert.equal(await recorder.add(new Map([[99, COUNTS]])), false);
  await recorder.read();
  assert.equal(recorder.listReports().size, 0);
});

test('what this process has recorded itself is repeated after a restore, unless another content is recorded', async () => {
  const { recorder, state, lines } = createRecorder({ value: buildValue(1, 98, 1), version: 7 });
  await recorder.read();
  await recorder.add(new Map([[99, COUNTS]]));
  state.era = 2;
  state.object = undefined;
  await recorder.read();
  assert.deepEqual([...recorder.listReports()], [[99, COUNTS]]);
  state.object = { value: buildValue(2, 99, 5), version: 9 };
  recorder.reset();
  await recorder.read();
  assert.equal(recorder.listReports().size, 0);
  assert.match(lines.at(-1) ?? '', /its record has another content/);
});

test('an unreadable record is replaced, and a refused write leads to another read', async () => {
  const { recorder, state, lines } = createRecorder({ value: 'x', version: 7 });
  assert.equal((await recorder.read()).highestWindow, 99);
  assert.match(lines[0] ?? '', /unreadable record/);
  state.result = undefined;
  assert.equal(await recorder.add(new Map([[100, COUNTS]])), false);
  assert.equal(recorder.record, undefined);
});
