import assert from 'node:assert/strict';
import { test } from 'node:test';

import { credentials, Server, ServerCredentials } from '@grpc/grpc-js';
import { SYSTEM_CLOCK, toBranded } from '@sardinegrade/common';
import { DispatchProtocol } from '@sardinegrade/peer';

import { PeerSession } from './PeerSession.js';

import type { TestContext } from 'node:test';
import type { GrantRequest } from '@sardinegrade/dispatch';

const SHARD = toBranded<never>('drill/dc-a/0');

const buildAsk = (askId: string): GrantRequest => ({
  askId,
  requestId: toBranded('r-1'),
  vm: toBranded('vm-1'),
  service: toBranded('counter'),
  className: toBranded('query'),
  workspace: toBranded('desk'),
  arrivedAtMs: Date.now(),
  deadlineAtMs: Date.now() + 60_000,
  promptTokens: 10,
  maxTokens: 10,
  prefixBlocks: [],
  fingerprint: toBranded('f'),
  resumeAt: 0,
  excludedUpstreams: [],
  attempt: 1,
  isSuspect: false,
  heldUpstream: undefined,
});

/** Opens a session with a server that records the messages it receives. */
const openSession = async (context: TestContext) => {
  const received: DispatchProtocol.EntryMessage[] = [];
  const server = new Server();
  const waiters: (() => void)[] = [];
  server.addService(DispatchProtocol.DispatchService, {
    session: (stream) => {
      stream.on('data', (message: DispatchProtocol.EntryMessage) => {
        received.push(message);
        for (const resolve of waiters.splice(0)) resolve();
      });
    },
  } satisfies DispatchProtocol.DispatchServer);
  const port = await new Promise<number>((resolve, reject) =>
    server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) =>
      error === null ? resolve(bound) : reject(error),
    ),
  );
  const member = {
    vm: toBranded<never>('vm-2'),
    dataCentre: toBranded<never>('dc-a'),
    address: `127.0.0.1:${port}`,
  };
  const session = new PeerSession(
    member,
    toBranded('vm-1'),
    credentials.createInsecure(),
    SYSTEM_CLOCK,
    { onActions: () => undefined, onLoads: () => undefined, onDisconnect: () => undefined },
  );
  context.after(() => {
    session.close();
    server.forceShutdown();
  });
  const waitForMessage = () => new Promise<void>((resolve) => waiters.push(resolve));
  return { session, received, waitForMessage };
};

test('a request that ends before it was sent is neither sent nor withdrawn', async (context) => {
  const { session, received, waitForMessage } = await openSession(context);
  session.requestGrant(SHARD, buildAsk('gone'));
  session.requestGrant(SHARD, buildAsk('kept'));
  session.withdraw('gone');
  await waitForMessage();
  assert.deepEqual(
    received.map(({ asks, withdrawals }) => [asks.map(({ askId }) => askId), withdrawals]),
    [[['kept'], []]],
  );
});

test('a request that ends after it was sent is withdrawn', async (context) => {
  const { session, received, waitForMessage } = await openSession(context);
  session.requestGrant(SHARD, buildAsk('sent'));
  await waitForMessage();
  session.withdraw('sent');
  await waitForMessage();
  assert.deepEqual(received[1]?.withdrawals, [{ askId: 'sent' }]);
});
