import assert from 'node:assert/strict';
import { test } from 'node:test';

import {
  createLogger,
  createMetrics,
  LogFormat,
  LogLevel,
  MetricName,
  toBranded,
} from '@sardinegrade/common';

import { DutyOutcome } from '../enums.js';
import { createUsageReporter } from './createUsageReporter.js';
import { FleetClock } from './FleetClock.js';
import { UsageCounter } from './UsageCounter.js';

import type { DutyRecord, UsageReport } from '../types.js';

const WINDOW_MS = 5_000;

/** A reporter of a fleet with one more VM, which never responds. */
const createReporter = (isHolder: boolean) => {
  const sent: UsageReport[] = [];
  const calls = { store: 0, pages: 0 };
  const state = { nowMs: 0, outcome: DutyOutcome.Unanswered };
  let object: DutyRecord | undefined;
  const getNowMs = (): number => state.nowMs;
  const clock = new FleetClock({ getNowMs, getWallMs: getNowMs, roundMs: WINDOW_MS / 2 });
  const counter = new UsageCounter({
    process: { vm: toBranded('a'), startedAtMs: 0 },
    windowMs: WINDOW_MS,
  });
  const metrics = createMetrics();
  const address = { host: '127.0.0.1', port: 1 };
  const lines: string[] = [];
  const output = { write: (line: string) => lines.push(line) };
  const reporter = createUsageReporter({
    settings: {
      address,
      kinds: new Set(),
      isFencingChecked: false,
      leaseMs: 3_000,
      usageWindowMs: WINDOW_MS,
      usageDueMs: 10_000,
    },
    holder: { isHolder: () => isHolder, claimPermit: () => undefined },
    client: {
      orderWorkers: () => Promise.resolve(DutyOutcome.Refused),
      reportUsage: (report) => {
        sent.push(report);
        return Promise.resolve(state.outcome);
      },
    },
    store: {
      getEra: () => 0,
      read: () => {
        calls.store += 1;
        return Promise.resolve(object);
      },
      write: (_name, value) => {
        object = { value, version: (object?.version ?? 0) + 1 };
        return Promise.resolve(object.version);
      },
    },
    listPeers: () => [{ vm: toBranded('b'), dataCentre: toBranded('dc'), address }],
    fetchPage: () => {
      calls.pages += 1;
      return Promise.reject(new Error('no answer'));
    },
    counter,
    clock,
    logger: createLogger({ level: LogLevel.Warn, format: LogFormat.Json, output }),
    metrics,
    getNowMs,
    getWallMs: getNowMs,
  });
  const runUntil = async (untilMs: number): Promise<void> => {
    for (; state.nowMs < untilMs; state.nowMs += 50) await reporter.tick();
  };
  return { state, sent, calls, counter, metrics, lines, runUntil };
};

test('a VM that is not the holder calls nobody', async () => {
  const { sent, calls, metrics, runUntil } = createReporter(false);
  await runUntil(30_000);
  assert.deepEqual([sent.length, calls.store, calls.pages], [0, 0, 0]);
  assert.doesNotMatch(metrics.renderPrometheus(), /^sardinegrade_usage_report_age_seconds /m);
});

// Guards against a report that is lost or changed while the API or a VM does not respond.
test('a report that is not answered is repeated with the same content until 30 s after its window', async () => {
  const { state, sent, counter, metrics, lines, runUntil } = createReporter(true);
  await runUntil(17_000);
  counter.record(toBranded('hule930'), state.nowMs);
  await runUntil(55_000);
  const reports = sent.filter(({ window }) => window === 3);
  assert.ok(reports.length >= 5);
  for (const { counts } of reports) assert.deepEqual([...counts], [['hule930', 1]]);
  const firstWindows = new Set(sent.map(({ window }) => window));
  assert.deepEqual([...firstWindows], [3, 4, 5, 6, 7, 8]);
  const sentBefore = sent.length;
  state.outcome = DutyOutcome.Accepted;
  await runUntil(56_000);
  // The windows that ended within the last 30 s are sent once, the others no more.
  assert.deepEqual(
    sent
      .slice(sentBefore)
      .map(({ window }) => window)
      .sort(),
    [5, 6, 7, 8, 9],
  );
  const outcome = DutyOutcome.Accepted;
  assert.equal(metrics.getCount(MetricName.UsageReports, { outcome }), 5);
  assert.match(metrics.renderPrometheus(), /^sardinegrade_usage_report_age_seconds \d/m);
  assert.equal(lines.filter((line) => line.includes('not fetched')).length, 1);
});
