import assert from 'node:assert/strict';
import { test } from 'node:test';

import { FencingSupport, SYSTEM_CLOCK } from '@sardinegrade/common';
import { AnswerReader, EngineClient, hashPrefixBlocks } from '@sardinegrade/upstream';

import { startWeightStore } from '../weights/index.js';
import { startEngine } from './startEngine.js';

import type { AttemptId, UpstreamConfiguration } from '@sardinegrade/common';
import type { TestContext } from 'node:test';
import type { EngineStandIn } from './startEngine.js';
import type { EngineOptions } from './types.js';

const FAST: EngineOptions = { tokenIntervalMs: 1, batchSlope: 0 };

const openEngine = async (context: TestContext, options: EngineOptions = FAST) => {
  const engine = await startEngine(options);
  context.after(() => engine.stop());
  return engine;
};

const buildBody = (text: string) => ({
  model: 'drill-7b',
  stream: true,
  messages: [{ role: 'user', content: text }],
});

const sendAttempt = (
  engine: EngineStandIn,
  text: string,
  headers: Record<string, string> = {},
): Promise<Response> =>
  fetch(`${engine.address}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify(buildBody(text)),
  });

const readAnswer = async (response: Response, id: string, resumeAt = 0) => {
  const tokens: string[] = [];
  const reader = new AnswerReader(id as AttemptId, resumeAt, (event) => tokens.push(event.text));
  reader.push(Buffer.from(await response.arrayBuffer()));
  return { tokens, reader };
};

const sendCommand = async (engine: EngineStandIn, id: string, command: string): Promise<number> =>
  (await fetch(`${engine.address}/v1/attempts/${id}/${command}`, { method: 'POST' })).status;

const sendOrder = async (engine: EngineStandIn, order: unknown): Promise<number> =>
  (await fetch(`${engine.address}/v1/orders`, { method: 'POST', body: JSON.stringify(order) }))
    .status;

const waitFor = async (condition: () => boolean): Promise<void> => {
  const deadlineAtMs = Date.now() + 10_000;
  while (!condition()) {
    assert.ok(Date.now() < deadlineAtMs, 'the condition was not met within 10 seconds');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
};

test('an answer is numbered, complete and identical for the same body, also when it is resumed', async (context) => {
  const engine = await openEngine(context);
  const other = await openEngine(context);
  const first = await readAnswer(
    await sendAttempt(engine, 'tokens=30', { 'x-attempt-id': 'a' }),
    'a',
  );
  assert.equal(first.reader.isComplete, true);
  assert.equal(first.tokens.length, 30);
  const headers = { 'x-attempt-id': 'b', 'x-resume-at': '12' };
  const rest = await readAnswer(await sendAttempt(other, 'tokens=30', headers), 'b', 12);
  assert.equal(rest.reader.isComplete, true);
  assert.deepEqual(rest.tokens, first.tokens.slice(12));
});

test('slots limit concurrency, and the queue is ordered by priority and limited', async (context) => {
  const engine = await openEngine(context, { ...FAST, slots: 1, queueLimit: 2 });
  const finished: string[] = [];
  const run = async (id: string, priority: number, tokens: number): Promise<void> => {
    const headers = { 'x-attempt-id': id, 'x-priority': String(priority) };
    const response = await sendAttempt(engine, `tokens=${tokens}`, headers);
    assert.equal((await readAnswer(response, id)).reader.isComplete, true);
    finished.push(id);
  };
  const running = run('first', 5, 300);
  await waitFor(() => engine.getCounts().started === 1);
  const low = run('low', 5, 200);
  await waitFor(() => engine.getCounts().received === 2);
  const high = run('high', 1, 200);
  await waitFor(() => engine.getCounts().received === 3);
  assert.equal((await sendAttempt(engine, 'tokens=1')).status, 429);
  await Promise.all([running, low, high]);
  assert.deepEqual(finished, ['first', 'high', 'low']);
});

test('a cancelled stream ends without its closing marker, a paused one frees its slot', async (context) => {
  const engine = await openEngine(context, { ...FAST, slots: 1 });
  const cut = sendAttempt(engine, 'tokens=5000', { 'x-attempt-id': 'cut' });
  await waitFor(() => engine.getCounts().started === 1);
  assert.equal(await sendCommand(engine, 'cut', 'cancel'), 204);
  assert.equal((await readAnswer(await cut, 'cut')).reader.isComplete, false);
  assert.equal(await sendCommand(engine, 'cut', 'pause'), 404);

  const paused = sendAttempt(engine, 'tokens=500', { 'x-attempt-id': 'held' });
  await waitFor(() => engine.getCounts().started === 2);
  assert.equal(await sendCommand(engine, 'held', 'pause'), 204);
  const passing = await sendAttempt(engine, 'tokens=5', { 'x-attempt-id': 'passing' });
  assert.equal((await readAnswer(passing, 'passing')).reader.isComplete, true);
  assert.equal(await sendCommand(engine, 'held', 'resume'), 204);
  const answer = await readAnswer(await paused, 'held');
  assert.equal(answer.tokens.length, 500);
  assert.equal(answer.reader.isComplete, true);
});

test('a disconnected caller frees its slot', async (context) => {
  const engine = await openEngine(context);
  const response = await sendAttempt(engine, 'tokens=100000');
  await response.body?.cancel();
  await waitFor(() => engine.getCounts().cancelled === 1);
});

test('cached prefixes are not prefilled again, and a lost cache event leaves a sequence gap', async (context) => {
  const engine = await openEngine(context, {
    ...FAST,
    cacheBlocks: 3,
    random: (() => {
      const draws = [0.9, 0.1, 0.9];
      return () => draws.shift() ?? 0.9;
    })(),
    behaviour: { cacheEventLoss: 0.5 },
  });
  const prompts = ['a', 'b', 'a'].map((letter) => `${letter.repeat(600)} tokens=1`);
  for (const prompt of prompts) await (await sendAttempt(engine, prompt)).text();
  assert.equal(engine.getCounts().cachedTokens, 0);
  await (await sendAttempt(engine, prompts[0] ?? '')).text();
  assert.equal(engine.getCounts().cachedTokens, 128);
  const client = new EngineClient(SYSTEM_CLOCK);
  const upstream = { address: engine.address } as UpstreamConfiguration;
  const events = await client.readCacheEvents(upstream, 0, 1_000);
  assert.deepEqual(
    events.map((event) => event.sequence),
    [1, 3],
  );
  assert.deepEqual(events[0]?.stored, hashPrefixBlocks(`user: ${prompts[0] ?? ''}`));
  await client.close();
});

test('load reports lag, and a leaving engine refuses and counts new requests', async (context) => {
  const engine = await openEngine(context, { ...FAST, behaviour: { loadLagMs: 30_000 } });
  const client = new EngineClient(SYSTEM_CLOCK);
  const upstream = { address: engine.address } as UpstreamConfiguration;
  engine.setBehaviour({ isLeaving: true });
  assert.equal((await client.readLoad(upstream)).isLeaving, false);
  engine.setBehaviour({ loadLagMs: 0 });
  const deadlineAtMs = Date.now() + 10_000;
  while (!(await client.readLoad(upstream)).isLeaving) assert.ok(Date.now() < deadlineAtMs);
  assert.equal((await sendAttempt(engine, 'tokens=1')).status, 503);
  assert.equal(engine.getCounts().receivedWhileLeaving, 1);
  await client.close();
});

test('the crash marker crashes the engine, a mismatched answer carries another attempt id', async (context) => {
  const engine = await openEngine(context, { ...FAST, behaviour: { crashMarker: 'poison' } });
  engine.setBehaviour({ hasWrongAttemptId: true });
  const mismatched = await sendAttempt(engine, 'tokens=3', { 'x-attempt-id': 'ours' });
  assert.notEqual(mismatched.headers.get('x-attempt-id'), 'ours');
  assert.deepEqual((await readAnswer(mismatched, 'ours')).tokens, []);
  await assert.rejects(async () => (await sendAttempt(engine, 'poison')).text());
  await assert.rejects(sendAttempt(engine, 'tokens=1'));
});

test('muted connections carry no more data while new ones work', async (context) => {
  const engine = await openEngine(context, { ...FAST, tokenIntervalMs: 20 });
  const abort = new AbortController();
  const body = JSON.stringify(buildBody('tokens=20'));
  const muted = fetch(`${engine.address}/v1/chat/completions`, {
    method: 'POST',
    body,
    signal: abort.signal,
  }).then((response) => response.text());
  await waitFor(() => engine.getCounts().started === 1);
  const control = { method: 'POST', body: JSON.stringify({ mute: true }) };
  await (await fetch(`${engine.address}/control`, control)).text();
  await waitFor(() => engine.getCounts().finished === 1);
  assert.equal((await readAnswer(await sendAttempt(engine, 'tokens=5'), '')).tokens.length, 0);
  assert.equal(await Promise.race([muted, Promise.resolve('silent')]), 'silent');
  abort.abort();
  await assert.rejects(muted);
});

test('an order with an old fencing number is refused only if fencing is checked', async (context) => {
  const weights = await startWeightStore({ modelMegabytes: 1 });
  context.after(() => weights.stop());
  for (const [fencing, status] of [
    [FencingSupport.Checked, 409],
    [FencingSupport.Ignored, 200],
  ] as const) {
    const engine = await openEngine(context, { ...FAST, fencing, weightStore: weights.address });
    assert.equal(await sendOrder(engine, { fencing: 7, order: 'load', model: 'appraise-3b' }), 200);
    assert.equal(
      await sendOrder(engine, { fencing: 6, order: 'unload', model: 'drill-7b' }),
      status,
    );
    const state = await (await fetch(`${engine.address}/v1/orders`)).json();
    assert.ok(typeof state === 'object' && state !== null && 'fencing' in state);
    assert.equal(state.fencing, 7);
  }
  assert.equal(await sendOrder(await openEngine(context), { order: 'load' }), 400);
});
