import assert from 'node:assert/strict';
import { once } from 'node:events';
import { test } from 'node:test';

import { startCollectingGarbage } from '../testing/index.js';
import { runWithTimeLimit } from './runWithTimeLimit.js';

const TIMEOUT_MS = 100;
const LONG_TIMEOUT_MS = 60_000;
const TEST_LIMIT_MS = 5_000;

const waitForAbort = async (signal: AbortSignal): Promise<never> => {
  if (!signal.aborted) await once(signal, 'abort');
  throw signal.reason;
};

// A source of AbortSignal.any that nothing else holds is garbage collected.
test(
  'a time limit combined with a signal still ends a call after garbage collections',
  { timeout: TEST_LIMIT_MS },
  async (context) => {
    context.after(startCollectingGarbage());
    const { signal } = new AbortController();
    const call = runWithTimeLimit({ timeoutMs: TIMEOUT_MS, signal }, waitForAbort);
    await assert.rejects(call, /no answer within 100 ms/);
  },
);

// Guards against calls that outlast their limit in a phase that heeds no signal, such as the connection of an HTTP client.
test('a call that ignores its signal ends at its time limit', async () => {
  const call = runWithTimeLimit({ timeoutMs: TIMEOUT_MS }, () => new Promise(() => undefined));
  await assert.rejects(call, /no answer within 100 ms/);
});

test('a call ends with the reason of its signal, also if that has aborted before', async () => {
  const controller = new AbortController();
  const limit = { timeoutMs: LONG_TIMEOUT_MS, signal: controller.signal };
  const call = runWithTimeLimit(limit, waitForAbort);
  controller.abort(new Error('the caller has left'));
  await assert.rejects(call, /the caller has left/);
  await assert.rejects(runWithTimeLimit(limit, waitForAbort), /the caller has left/);
});

test('a call that ends in time is not aborted and leaves no listener', async () => {
  const controller = new AbortController();
  let limitSignal: AbortSignal | undefined;
  const result = await runWithTimeLimit(
    { timeoutMs: LONG_TIMEOUT_MS, signal: controller.signal },
    (signal) => {
      limitSignal = signal;
      return Promise.resolve('done');
    },
  );
  controller.abort();
  assert.equal(result, 'done');
  assert.equal(limitSignal?.aborted, false);
});

// Guards against the outcome of a call being replaced by the reason of its end.
test('a call that heeds its signal decides how it ends', async () => {
  const result = await runWithTimeLimit({ timeoutMs: TIMEOUT_MS }, (signal) =>
    waitForAbort(signal).catch(() => 'timed out'),
  );
  assert.equal(result, 'timed out');
});
