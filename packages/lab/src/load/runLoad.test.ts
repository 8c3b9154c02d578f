import assert from 'node:assert/strict';
import { test } from 'node:test';

import { startHttpServer } from '../standins/http/index.js';
import { startEngine } from '../standins/index.js';
import { computeSummaries } from './computeSummaries.js';
import { deriveLoad } from './deriveLoad.js';
import { runLoad } from './runLoad.js';
import { CallerOutcome } from './types.js';

import type { LoadClass, LoadProfile } from './types.js';

const QUERY: LoadClass = {
  name: 'query',
  model: 'drill-7b',
  isPaying: true,
  ratePerSecond: 100,
  bursts: [{ fromMs: 500, untilMs: 1_000, factor: 4 }],
  keys: ['large', 'small'],
  workspaceSkew: 2,
  promptTokens: { median: 100, spread: 0.5, maximum: 500 },
  answerTokens: { median: 5, spread: 0.5, maximum: 20 },
  sharedFraction: 0.5,
  firstTokenTargetMs: 60_000,
  tokenIntervalTargetMs: 60_000,
  timeoutMs: 60_000,
};

const buildProfile = (changes: Partial<LoadClass> = {}, durationMs = 2_000): LoadProfile => ({
  seed: 3,
  durationMs,
  classes: [{ ...QUERY, ...changes }],
});

test('a plan is reproducible from its seed, has bursts and favours the large workspace', () => {
  const plan = deriveLoad(buildProfile());
  assert.deepEqual(deriveLoad(buildProfile()), plan);
  assert.notDeepEqual(deriveLoad({ ...buildProfile(), seed: 4 }), plan);
  const inBurst = plan.filter(({ atMs }) => atMs >= 500 && atMs < 1_000).length;
  assert.ok(inBurst > plan.length / 2);
  assert.ok(plan.filter(({ key }) => key === 'large').length > plan.length * 0.7);
  assert.deepEqual(
    [...plan].sort((a, b) => a.atMs - b.atMs),
    plan,
  );
  assert.equal(new Set(plan.map(({ prompt }) => prompt)).size, plan.length);
});

test('expected answers are complete, and a refusal without a run state counts as failed', async (context) => {
  const engine = await startEngine({ slots: 64, tokenIntervalMs: 1, batchSlope: 0 });
  context.after(() => engine.stop());
  const profile = buildProfile({ bursts: [] }, 100);
  const plan = deriveLoad(profile);
  const run = () => runLoad(plan, { addresses: [engine.address] });
  const [complete] = computeSummaries(profile.classes, await run());
  assert.equal(complete?.outcomes[CallerOutcome.Complete], plan.length);
  assert.equal(complete.attainment, 1);
  assert.equal(complete.goodTokens, engine.getCounts().tokens);
  engine.setBehaviour({ isLeaving: true });
  const [refused] = computeSummaries(profile.classes, await run());
  assert.equal(refused?.attainment, 0);
  assert.equal(refused.outcomes[CallerOutcome.Failed], plan.length);
});

const TOKEN = 'data: {"choices":[{"delta":{"content":"not yours"}}]}\n\n';
const NOT_RUN = '{"error":{"code":2001,"run":"not_run"}}';

const ANSWERS: readonly (readonly [CallerOutcome, number, string])[] = [
  [CallerOutcome.Wrong, 200, `${TOKEN}data: [DONE]\n\n`],
  [CallerOutcome.Truncated, 200, TOKEN],
  [CallerOutcome.Truncated, 200, `${TOKEN}data: ${NOT_RUN}\n\ndata: [DONE]\n\n`],
  [CallerOutcome.Refused, 200, `data: ${NOT_RUN}\n\n`],
  [CallerOutcome.Refused, 429, NOT_RUN],
  [CallerOutcome.Failed, 502, '{"error":{"code":3001,"run":"unknown"}}'],
];

test('wrong, truncated, refused and failed answers are distinguished', async (context) => {
  const answers = [...ANSWERS];
  const server = await startHttpServer('127.0.0.1:0', (_request, response) => {
    const [, status = 500, body = ''] = answers.shift() ?? [];
    response.writeHead(status).end(body);
    return Promise.resolve();
  });
  context.after(() => server.stop());
  const [request] = deriveLoad(buildProfile());
  assert.ok(request !== undefined);
  for (const [outcome] of ANSWERS) {
    const [result] = await runLoad([request], { addresses: [server.address] });
    assert.equal(result?.outcome, outcome);
  }
});
