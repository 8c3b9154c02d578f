import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { credentials, Server, ServerCredentials } from '@grpc/grpc-js';
import { ResultCode, SYSTEM_CLOCK, toBranded } from '@sardinegrade/common';
import { DispatchActionKind } from '@sardinegrade/dispatch';
import { DispatchProtocol } from '@sardinegrade/peer';

import { SESSION_HEARTBEAT_MS } from './constants.js';
import { createDispatchService } from './createDispatchService.js';

import type { TestContext } from 'node:test';
import type { DispatchAction } from '@sardinegrade/dispatch';
import type { DispatchHost, ReplyHandler } from './DispatchHost.js';

/** Opens a session with a fake dispatch host; returns the messages that the client receives. */
const openSession = async (context: TestContext) => {
  const replies = new Map<string, ReplyHandler>();
  const updated: string[] = [];
  const host = {
    requestGrant: (_key: unknown, { askId }: { askId: string }, reply: ReplyHandler) =>
      replies.set(askId, reply),
    update: (askId: string) => updated.push(askId),
    listLoads: () => new Map(),
  } as unknown as DispatchHost;
  const server = new Server();
  server.addService(DispatchProtocol.DispatchService, createDispatchService(host, SYSTEM_CLOCK));
  const port = await new Promise<number>((resolve, reject) =>
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
      error === null ? resolve(bound) : reject(error),
    ),
  );
  const client = new DispatchProtocol.DispatchClient(
    `127.0.0.1:${port}`,
    credentials.createInsecure(),
  );
  const stream = client.session();
  const received: DispatchProtocol.DispatcherMessage[] = [];
  stream.on('data', (message: DispatchProtocol.DispatcherMessage) => received.push(message));
  stream.on('error', () => undefined);
  context.after(() => {
    client.close();
    server.forceShutdown();
  });
  const ask = async (askId: string): Promise<ReplyHandler> => {
    stream.write({
      vm: 'vm-1',
      asks: [{ ...EMPTY_ASK, askId }],
      withdrawals: [],
      progress: [],
      releases: [],
    });
    for (;;) {
      const reply = replies.get(askId);
      if (reply !== undefined) return reply;
      await sleep(1);
    }
  };
  const waitForMessages = async (count: number): Promise<void> => {
    while (received.length < count) await sleep(1);
  };
  return { ask, received, updated, stream, waitForMessages };
};

const EMPTY_ASK = DispatchProtocol.Ask.decode(new Uint8Array());

const buildGrant = (askId: string): DispatchAction => ({
  kind: DispatchActionKind.Grant,
  askId,
  upstream: toBranded('engine-1'),
  priority: 0,
});

const buildRefusal = (askId: string): DispatchAction => ({
  kind: DispatchActionKind.Refuse,
  askId,
  code: ResultCode.Overloaded,
  retryAfterMs: 1_000,
});

test('a session sends heartbeats while a request waits, and none once all are decided', async (context) => {
  const { ask, received, waitForMessages } = await openSession(context);
  const reply = await ask('a');
  const replyOther = await ask('b');
  await waitForMessages(2);
  assert.deepEqual(received[0]?.grants, []);
  reply(buildGrant('a'));
  replyOther(buildRefusal('b'));
  while (!received.some(({ refusals }) => refusals.length > 0)) await sleep(1);
  const count = received.length;
  await sleep(4 * SESSION_HEARTBEAT_MS);
  assert.equal(received.length, count);
});

test('only a granted request is withdrawn when the session ends, a refused one is already removed', async (context) => {
  const { ask, received, stream, updated } = await openSession(context);
  (await ask('granted'))(buildGrant('granted'));
  (await ask('refused'))(buildRefusal('refused'));
  while (!received.some(({ refusals }) => refusals.length > 0)) await sleep(1);
  stream.end();
  while (updated.length === 0) await sleep(1);
  assert.deepEqual(updated, ['granted']);
});
