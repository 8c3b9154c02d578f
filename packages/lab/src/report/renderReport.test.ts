import assert from 'node:assert/strict';
import { test } from 'node:test';

import { CallerOutcome } from '../load/index.js';
import { renderReport } from './renderReport.js';
import { deriveAttainmentCurve, deriveFirstTokenCurve } from './series.js';

import type { LoadClass, RequestResult } from '../load/index.js';

const CLASS = { name: 'query', firstTokenTargetMs: 100, tokenIntervalTargetMs: 50 } as LoadClass;

const createResult = (atMs: number, firstTokenMs: number | undefined): RequestResult => ({
  request: { number: 0, atMs, loadClass: CLASS, key: '', prompt: '', answerTokens: 2 },
  outcome: firstTokenMs === undefined ? CallerOutcome.Refused : CallerOutcome.Complete,
  atMs,
  endedAtMs: atMs + 500,
  tokens: 2,
  firstTokenMs,
  tokenIntervalMs: 10,
  longestIntervalMs: 10,
  code: undefined,
  run: undefined,
});

const RESULTS = [createResult(0, 80), createResult(100, 200), createResult(1_500, undefined)];

test('refused requests count in the total, so the first-token curve stays below 100 %', () => {
  const curve = deriveFirstTokenCurve(RESULTS);
  assert.deepEqual(
    curve.map(([time]) => time),
    [80, 200],
  );
  assert.equal(Math.round(curve.at(-1)?.[1] ?? 0), 67);
  assert.deepEqual(deriveAttainmentCurve(RESULTS, 1_000), [
    [0, 50],
    [1, 0],
  ]);
});

test('a report is a single page with inline charts and no external resources', () => {
  const page = renderReport({
    title: 'a <b> & "c"',
    tables: [{ title: 'Classes', columns: ['class', 'n'], rows: [['<query>', 3]] }],
    runs: [{ label: 'tiered', results: RESULTS }],
  });
  assert.equal(page.match(/<svg /g)?.length, 3);
  assert.ok(page.includes('a &lt;b&gt; &amp; &quot;c&quot;'));
  assert.ok(page.includes('&lt;query&gt;'));
  assert.ok(page.includes('tiered, query'));
  assert.doesNotMatch(page, /<script|(?:src|href)="(?!#)/);
});
