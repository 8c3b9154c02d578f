import assert from 'node:assert/strict';
import { createSocket } from 'node:dgram';
import { on } from 'node:events';
import { test } from 'node:test';

import { toBranded } from '@sardinegrade/common';
import { LoadProtocol } from '@sardinegrade/peer';
import { LoadScope } from '@sardinegrade/routing';

import { startTestForwarder } from '../testing/index.js';
import { toLoadShare } from './loadMessages.js';
import { LoadReporter } from './LoadReporter.js';

import type { LoadMessage, PartId } from '@sardinegrade/routing';

const LIMIT_MS = 2_000;

const buildTestMessage = (vm: string): LoadMessage => ({
  vm: toBranded(vm),
  startedAtMs: 1,
  sequence: 1,
  dataCentre: toBranded('dc-a'),
  scope: LoadScope.ForAll,
  vmCount: 1,
  waiting: { requests: 0, promptTokens: 0 },
  engines: new Map(),
  placements: [],
  crashes: [],
  paceSamples: [],
  dataCentreAges: new Map(),
  storeVersions: {
    era: 0,
    configuration: 0,
    workers: 0,
    activeGeneration: 0,
    answerAgeMs: undefined,
    failureAgeMs: undefined,
    workerWatch: undefined,
  },
  workerLimits: [],
  streamOrigins: [],
  leavingWorkers: [],
  outdatedWorkers: [],
  brittleWorkers: [],
  partEvidence: [],
});

// Guards against a process that waits forever for its port and neither serves nor ends.
test('a reporter whose port is in use does not start', async (context) => {
  const { state } = await startTestForwarder(context, []);
  const taken = createSocket('udp4');
  context.after(() => taken.close());
  await new Promise<void>((resolve) => taken.bind(0, '127.0.0.1', resolve));
  const address = { host: '127.0.0.1', port: taken.address().port };
  const reporter = new LoadReporter({ state, vm: toBranded('vm-1'), address });
  const limit = new Promise((resolve) => setTimeout(resolve, LIMIT_MS, 'still waiting').unref());
  await assert.rejects(Promise.race([reporter.start(), limit]), /EADDRINUSE/);
});

test('a prompt part whose number of tokens is not whole does not end the process', async (context) => {
  const { state } = await startTestForwarder(context, []);
  const peer = createSocket('udp4');
  context.after(() => peer.close());
  await new Promise<void>((resolve) => peer.bind(0, '127.0.0.1', resolve));
  const address = { host: '127.0.0.1', port: 0 };
  const reporter = new LoadReporter({ state, vm: toBranded('vm-1'), address });
  context.after(() => reporter.stop());
  await reporter.start();
  reporter.setPeers([
    {
      vm: toBranded('vm-2'),
      dataCentre: toBranded('dc-a'),
      address: { host: '127.0.0.1', port: peer.address().port },
    },
  ]);
  const parts = [1.5, 1e12, 7].map((tokens, index) => ({
    id: toBranded<PartId>(`p${index}`),
    tokens,
  }));
  state.onPlacement(toBranded('w1'), parts);
  const signal = AbortSignal.timeout(LIMIT_MS);
  for await (const [bytes] of on(peer, 'message', { signal })) {
    const { load } = LoadProtocol.PeerMessage.decode(bytes as Buffer);
    if ((load?.placements.length ?? 0) > 0) break;
  }
});

test('messages that cannot be read are logged once for each sender', async (context) => {
  const { state, logLines } = await startTestForwarder(context, []);
  const own = createSocket('udp4');
  await new Promise<void>((resolve) => own.bind(0, '127.0.0.1', resolve));
  const address = { host: '127.0.0.1', port: own.address().port };
  await new Promise<void>((resolve) => own.close(() => resolve()));
  const reporter = new LoadReporter({ state, vm: toBranded('vm-1'), address });
  context.after(() => reporter.stop());
  await reporter.start();
  const sender = createSocket('udp4');
  context.after(() => sender.close());
  const sound = LoadProtocol.PeerMessage.encode({
    load: toLoadShare(buildTestMessage('vm-2')),
    asksMemory: false,
    memory: undefined,
  }).finish();
  for (let count = 0; count < 5; count += 1) sender.send('\xff\xff', address.port, address.host);
  sender.send(sound, address.port, address.host);
  const limitAtMs = performance.now() + LIMIT_MS;
  while (state.sharedLoad.find(toBranded('vm-2')) === undefined) {
    assert.ok(performance.now() < limitAtMs, 'the sound message was not received');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  const lines = logLines.filter((line) => line.includes('load message ignored'));
  assert.equal(lines.length, 1);
});
