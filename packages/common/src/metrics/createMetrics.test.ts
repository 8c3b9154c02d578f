import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { ResultCode } from '../errors/index.js';
import { COUNTER_SERIES_LIMIT, METRIC_DEFINITIONS, WINDOW_HALF_MS } from './constants.js';
import { createMetrics } from './createMetrics.js';
import { MetricName, WasteCause } from './enums.js';

const TRAFFIC = { service: 'counter', className: 'query', workspace: 'rig-desk' };

const ANSWER = {
  ...TRAFFIC,
  firstTokenMs: 800,
  tokenIntervalMs: 40,
  durationMs: 4_000,
  tokens: 80,
  isAttained: true,
};

const createFixture = () => {
  const time = { nowMs: 1_000 };
  return { time, metrics: createMetrics({ getNowMs: () => time.nowMs }) };
};

test('refusals lower the attainment of a class; disconnected callers do not', () => {
  const { metrics } = createFixture();
  metrics.recordAnswer(ANSWER);
  metrics.recordAnswer({ ...ANSWER, isAttained: false });
  metrics.recordFailure({ ...TRAFFIC, code: ResultCode.Overloaded });
  metrics.recordFailure({ ...TRAFFIC, code: ResultCode.CallerGone });
  metrics.recordFailure({ ...TRAFFIC, code: ResultCode.InvalidField });
  const expected = { requests: 3, attained: 1, share: 1 / 3 };
  assert.deepEqual(metrics.getClassAttainment('counter', 'query'), expected);
  assert.deepEqual(metrics.getWorkspaceAttainment('rig-desk'), expected);
  const labels = { service: 'counter', class: 'query' };
  assert.equal(metrics.getCount(MetricName.GoodTokens, labels), 80);
  assert.equal(metrics.getCount(MetricName.Requests, { ...labels, outcome: 'refused' }), 1);
  assert.equal(metrics.getCount(MetricName.Requests, { ...labels, outcome: 'invalid' }), 1);
});

test('attainment and percentiles ignore values older than the window', () => {
  const { metrics, time } = createFixture();
  metrics.recordAnswer(ANSWER);
  time.nowMs += WINDOW_HALF_MS;
  metrics.recordAnswer({ ...ANSWER, firstTokenMs: 1_600 });
  assert.equal(metrics.getClassAttainment('counter', 'query').requests, 2);
  assert.equal(metrics.getLatency(MetricName.FirstToken, 'counter', 'query')?.count, 2);
  time.nowMs += 2 * WINDOW_HALF_MS;
  assert.equal(metrics.getClassAttainment('counter', 'query').share, undefined);
  assert.equal(metrics.getLatency(MetricName.FirstToken, 'counter', 'query'), undefined);
});

test('percentiles are accurate to one percent', () => {
  const { metrics } = createFixture();
  for (let ms = 1; ms <= 1_000; ms += 1) metrics.recordQueueWait('counter', 'query', ms);
  const latency = metrics.getLatency(MetricName.QueueWait, 'counter', 'query');
  assert.ok(Math.abs((latency?.p50Ms ?? 0) - 500) <= 5);
  assert.ok(Math.abs((latency?.p99Ms ?? 0) - 990) <= 10);
});

test('durations that are not finite numbers are ignored', () => {
  const { metrics } = createFixture();
  for (const ms of [Number.NaN, Number.POSITIVE_INFINITY]) {
    metrics.recordQueueWait('counter', 'query', ms);
  }
  metrics.recordQueueWait('counter', 'query', 1e12);
  metrics.recordQueueWait('counter', 'query', -5);
  assert.equal(metrics.getLatency(MetricName.QueueWait, 'counter', 'query')?.count, 2);
});

test('360 workspaces have series of their own, and label sets beyond the limit share one series', () => {
  const { metrics } = createFixture();
  for (let number = 0; number < 360; number += 1) {
    metrics.recordAnswer({ ...ANSWER, workspace: `workspace-${number}` });
  }
  assert.doesNotMatch(metrics.renderPrometheus(), /workspace="other"/);
  for (let number = 0; number < 5_000; number += 1) {
    metrics.recordAnswer({ ...ANSWER, workspace: `flood-${number}` });
  }
  const lines = metrics.renderPrometheus().split('\n');
  const workspaceLines = lines.filter((line) =>
    line.startsWith(`${MetricName.WorkspaceAttained}{`),
  );
  assert.equal(workspaceLines.length, COUNTER_SERIES_LIMIT + 1);
  assert.equal(metrics.getCount(MetricName.WorkspaceAttained, { workspace: 'other' }), 4_336);
  assert.ok(lines.length < 6 * COUNTER_SERIES_LIMIT);
});

test('the output is Prometheus text with escaped label values', () => {
  const { metrics } = createFixture();
  metrics.recordWastedTokens('a"b\\c\nd', WasteCause.CallerGone, 12);
  metrics.registerGauge(MetricName.Generation, () => [{ labels: {}, value: 7 }]);
  metrics.recordAnswer(ANSWER);
  const text = metrics.renderPrometheus();
  assert.match(text, /wasted_tokens_total\{service="a\\"b\\\\c\\nd",cause="caller_gone"\} 12\n/);
  assert.match(text, /^sardinegrade_configuration_generation 7$/m);
  assert.match(
    text,
    /^sardinegrade_first_token_seconds_count\{service="counter",class="query"\} 1$/m,
  );
  assert.match(text, /quantile="0.95"\} 0\.8/);
  for (const line of text.trimEnd().split('\n')) {
    assert.match(line, /^(# (HELP|TYPE) sardinegrade_\w+ .+|sardinegrade_\w+(\{.*\})? [-\d.e]+)$/);
  }
});

test('no metric declares a label twice', () => {
  for (const { labels } of Object.values(METRIC_DEFINITIONS)) {
    assert.equal(new Set(labels).size, labels.length);
  }
});

test('docs/METRICS.md lists each metric with kind, labels and meaning', () => {
  const page = readFileSync(new URL('../../../../docs/METRICS.md', import.meta.url), 'utf8');
  const rows = page.split('\n').filter((line) => line.startsWith('| `sardinegrade_'));
  const documented = rows.map((row) =>
    row
      .split('|')
      .map((cell) => cell.trim())
      .slice(1, 5),
  );
  const defined = Object.entries(METRIC_DEFINITIONS).map(([name, { kind, labels, help }]) => {
    const labelCell = labels.map((label) => `\`${label}\``).join(', ');
    return [`\`${name}\``, kind, labelCell === '' ? 'none' : labelCell, help];
  });
  assert.deepEqual(documented, defined);
});
