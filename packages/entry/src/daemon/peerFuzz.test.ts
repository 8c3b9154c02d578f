import assert from 'node:assert/strict';
import { test } from 'node:test';

import { Client, credentials, Metadata, ServerCredentials } from '@grpc/grpc-js';
import { SYSTEM_CLOCK, startTracing, toBranded } from '@sardinegrade/common';
import { DispatchPolicy } from '@sardinegrade/dispatch';
import { createFleetAgent, MemberState } from '@sardinegrade/fleet';
import { DispatchProtocol, FleetProtocol } from '@sardinegrade/peer';
import { createMemoryPlatform } from '@sardinegrade/platform';
import { EngineClient } from '@sardinegrade/upstream';
import fc from 'fast-check';

import { TEST_TEXT } from '../administration/testing/createTestContext.js';
import { createDispatchService, DispatchHost, ShardTable } from '../grants/index.js';
import { PeerServer } from './PeerServer.js';

const SEED = 7;
const CALL_TIMEOUT_MS = 10_000;

const FLEET_METHODS = Object.values(FleetProtocol.FleetService).map(({ path }) => path);
const SESSION_PATH = DispatchProtocol.DispatchService.session.path;

const toBytes = (value: Buffer): Buffer => value;

/** Starts a peer server with a fleet agent and a dispatch host, and a client that sends raw bytes. */
const startPeerServer = async () => {
  const agent = createFleetAgent({
    settings: { vm: toBranded('vm-1'), dataCentre: toBranded('hobart'), seeds: [] },
    platform: createMemoryPlatform(),
    clock: SYSTEM_CLOCK,
    random: () => 0.5,
  });
  const engines = new EngineClient(SYSTEM_CLOCK);
  const host = new DispatchHost({
    policy: DispatchPolicy.Tiered,
    clock: SYSTEM_CLOCK,
    random: () => 0.5,
    engines,
    tracing: startTracing({ vm: 'vm-1', dataCentre: 'hobart' }),
    onQuarantine: () => undefined,
    listKnownEvents: () => [],
    onProbe: () => undefined,
  });
  const server = new PeerServer(agent.handlers, createDispatchService(host, SYSTEM_CLOCK));
  const address = await server.listen('127.0.0.1:0', ServerCredentials.createInsecure());
  agent.start(address);
  await agent.applyConfiguration({
    baseGeneration: 0,
    author: 'ann',
    changeId: 'c1',
    text: TEST_TEXT,
  });
  const configuration = agent.getConfiguration();
  assert.ok(configuration !== undefined);
  const table = new ShardTable(configuration, 8);
  host.applyConfiguration(configuration, table);
  const client = new Client(address, credentials.createInsecure());
  const stop = async (): Promise<void> => {
    client.close();
    host.stop();
    agent.stop();
    server.stop();
    await engines.close();
  };
  return { agent, host, client, stop, address };
};

const callWithBytes = (client: Client, path: string, bytes: Buffer): Promise<void> =>
  new Promise((resolve) => {
    const options = { deadline: Date.now() + CALL_TIMEOUT_MS };
    client.makeUnaryRequest(path, toBytes, toBytes, bytes, new Metadata(), options, () => {
      resolve();
    });
  });

const sendMessages = (client: Client, messages: readonly Buffer[]): Promise<void> =>
  new Promise((resolve) => {
    const options = { deadline: Date.now() + CALL_TIMEOUT_MS };
    const stream = client.makeBidiStreamRequest(SESSION_PATH, toBytes, toBytes, options);
    stream.on('error', () => resolve());
    stream.on('end', () => resolve());
    stream.resume();
    for (const message of messages) stream.write(message);
    stream.end();
  });

const isAlive = (client: Client): Promise<boolean> =>
  new Promise((resolve) => {
    const request: FleetProtocol.FetchConfigurationRequest = { atLeast: 1 };
    const bytes = Buffer.from(FleetProtocol.FetchConfigurationRequest.encode(request).finish());
    const { path } = FleetProtocol.FleetService.fetchConfiguration;
    client.makeUnaryRequest(path, toBytes, toBytes, bytes, (error) => resolve(error === null));
  });

const number32 = fc.oneof(fc.nat(100), fc.constantFrom(0, 1, 2 ** 31 - 1, 2 ** 32 - 1));
const name = fc.oneof(
  fc.constantFrom('vm-1', 'vm-2', 'vm-3', '', '__proto__', 'constructor'),
  fc.string(),
);
const member = fc.record({
  vm: name,
  dataCentre: fc.oneof(fc.constantFrom('hobart', 'perth'), name),
  address: fc.oneof(fc.constantFrom('127.0.0.1:1', '', 'x', 'dns:///x:1'), fc.string()),
  incarnation: number32,
  state: fc.integer({ min: -1, max: 9 }),
});
const news = fc.record({
  kind: fc.integer({ min: -1, max: 9 }),
  subject: name,
  expiresAtMs: fc.constantFrom(0, 1, Date.UTC(2100, 0, 1), Number.MAX_SAFE_INTEGER),
  count: number32,
});
const gossip = fc.record({
  members: fc.array(member, { maxLength: 5 }),
  news: fc.array(news, { maxLength: 5 }),
  generation: number32,
  contacts: fc.array(fc.record({ dataCentre: name, ageMs: number32 }), { maxLength: 2 }),
});

test('arbitrary bytes and messages of a peer neither stop the daemon nor corrupt its own state', async () => {
  const { agent, client, stop } = await startPeerServer();
  try {
    const path = fc.constantFrom(...FLEET_METHODS);
    const bytes = fc.uint8Array({ maxLength: 200 });
    const random = fc.asyncProperty(path, bytes, async (method, array) => {
      await callWithBytes(client, method, Buffer.from(array));
    });
    await fc.assert(random, { seed: SEED, numRuns: 300 });
    const ping = fc.asyncProperty(name, gossip, async (from, content) => {
      const request: FleetProtocol.PingRequest = { from, gossip: content, to: 'vm-1' };
      const encoded = Buffer.from(FleetProtocol.PingRequest.encode(request).finish());
      await callWithBytes(client, FleetProtocol.FleetService.ping.path, encoded);
    });
    await fc.assert(ping, { seed: SEED, numRuns: 300 });
    assert.equal(await isAlive(client), true);
    const self = agent.getMembers().find(({ vm }) => vm === 'vm-1');
    assert.equal(self?.state, MemberState.Alive);
    assert.equal(agent.getConfiguration()?.generation, 1);
  } finally {
    await stop();
  }
});

const ask = fc.record({
  askId: name,
  requestId: name,
  service: fc.oneof(fc.constant('counter'), name),
  className: fc.oneof(fc.constant('query'), name),
  workspace: name,
  ageMs: number32,
  remainingMs: number32,
  promptTokens: number32,
  maxTokens: number32,
  prefixBlocks: fc.array(number32, { maxLength: 5 }),
  fingerprint: name,
  resumeAt: number32,
  excludedUpstreams: fc.array(name, { maxLength: 3 }),
  attempt: number32,
  suspect: fc.boolean(),
  shard: fc.oneof(fc.constantFrom('engines/hobart/0', 'desk/hobart/0'), name),
  heldUpstream: fc.oneof(fc.constantFrom('', 'e1', 'e2'), name),
  trace: fc.uint8Array({ maxLength: 30 }).map((array) => Buffer.from(array)),
});
const release = fc.record({
  askId: name,
  tokens: number32,
  reason: fc.integer({ min: -1, max: 9 }),
  firstTokenMs: number32,
  tokenIntervalTenthMs: number32,
});
const entryMessage = fc.record({
  vm: name,
  asks: fc.array(ask, { maxLength: 4 }),
  withdrawals: fc.array(fc.record({ askId: name }), { maxLength: 2 }),
  progress: fc.array(fc.record({ askId: name, tokens: number32 }), { maxLength: 2 }),
  releases: fc.array(release, { maxLength: 2 }),
});

test('bytes and messages of an entry daemon neither stop the dispatcher nor leave grants behind', async () => {
  const { host, client, stop } = await startPeerServer();
  try {
    const bytes = fc.array(fc.uint8Array({ maxLength: 100 }), { maxLength: 3 });
    const random = fc.asyncProperty(bytes, async (arrays) => {
      await sendMessages(
        client,
        arrays.map((array) => Buffer.from(array)),
      );
    });
    await fc.assert(random, { seed: SEED, numRuns: 100 });
    const typed = fc.asyncProperty(fc.array(entryMessage, { maxLength: 4 }), async (messages) => {
      const encoded = messages.map((message) => {
        return Buffer.from(
          DispatchProtocol.EntryMessage.encode(
            message as unknown as DispatchProtocol.EntryMessage,
          ).finish(),
        );
      });
      await sendMessages(client, encoded);
    });
    await fc.assert(typed, { seed: SEED, numRuns: 300 });
    assert.equal(await isAlive(client), true);
    for (const { upstreams, queuedByClass } of host.describe().values()) {
      assert.deepEqual(
        Object.values(queuedByClass).filter((queued) => queued !== 0),
        [],
      );
      assert.deepEqual(
        upstreams.filter(({ granted }) => granted !== 0),
        [],
      );
    }
  } finally {
    await stop();
  }
});
