import assert from 'node:assert/strict';
import { after, test } from 'node:test';

import {
  createPlatformClient,
  PlatformError,
  PlatformFailure,
  writeConfirmed,
  WriteOutcome,
} from '@sardinegrade/platform';

import { startPlatform } from './startPlatform.js';

const standIn = await startPlatform();
const client = createPlatformClient({ address: standIn.address });

after(async () => {
  await client.close();
  await standIn.stop();
});

const createWrite = (name: string, ifVersion = 0) => ({
  kind: 'thing',
  name,
  ifVersion,
  changeId: `${name}-${ifVersion}`,
  value: { name },
});

const expectFailure = (failure: PlatformFailure) => (error: unknown) => {
  assert.ok(error instanceof PlatformError);
  assert.equal(error.failure, failure);
  return true;
};

const sendControl = async (body: unknown): Promise<number> => {
  const response = await fetch(`${standIn.address}/control`, {
    method: 'POST',
    body: JSON.stringify(body),
  });
  await response.text();
  return response.status;
};

test('the client reads, writes, lists, deletes and watches over HTTP', async () => {
  assert.equal(await client.read('thing', 'a'), undefined);
  const written = await client.write(createWrite('a'));
  assert.ok(written.outcome === WriteOutcome.Written);
  assert.deepEqual((await client.read('thing', 'a'))?.value, { name: 'a' });
  const conflict = await client.write(createWrite('a'));
  assert.ok(conflict.outcome === WriteOutcome.Conflict);
  assert.equal(conflict.current?.changeId, 'a-0');
  const page = await client.list('thing', '');
  assert.deepEqual(
    page.objects.map((object) => object.name),
    ['a'],
  );
  const waiting = client.watch('thing', written.version, 30_000);
  await client.remove('thing', 'a', written.version);
  const [change] = (await waiting).changes;
  assert.equal(change?.object, undefined);
  assert.equal(change?.name, 'a');
});

test('a watch ends when it is aborted and when it times out', async () => {
  const abort = new AbortController();
  const waiting = client.watch('quiet', 0, 30_000, abort.signal);
  abort.abort();
  await assert.rejects(waiting, expectFailure(PlatformFailure.Unavailable));
  assert.deepEqual((await client.watch('quiet', 0, 1)).changes, []);
});

test('a write with a lost response is uncertain, and reading it back confirms it', async () => {
  assert.equal(await sendControl({ lose_answers: 1 }), 200);
  await assert.rejects(client.write(createWrite('b')), expectFailure(PlatformFailure.Uncertain));
  const confirmed = await writeConfirmed(client, createWrite('c'));
  assert.equal(confirmed.outcome, WriteOutcome.Written);
  assert.equal(await sendControl({ lose_answers: 0 }), 200);
});

test('reads and writes report an outage as unavailable, and calls are counted', async () => {
  assert.equal(await sendControl({ outage: true }), 200);
  const unavailable = expectFailure(PlatformFailure.Unavailable);
  await assert.rejects(client.write(createWrite('d')), unavailable);
  await assert.rejects(client.read('thing', 'd'), unavailable);
  assert.equal(await sendControl({ outage: false }), 200);
  assert.equal(await client.read('thing', 'd'), undefined);
  assert.ok((standIn.platform.getCounts().byCall['read thing'] ?? 0) >= 2);
});

test('a write that times out is uncertain, a write without a listening server is unavailable', async () => {
  assert.equal(await sendControl({ delay_ms: 500 }), 200);
  const shortTimeoutClient = createPlatformClient({ address: standIn.address, callTimeoutMs: 50 });
  await assert.rejects(
    shortTimeoutClient.write(createWrite('e')),
    expectFailure(PlatformFailure.Uncertain),
  );
  await shortTimeoutClient.close();
  assert.equal(await sendControl({ delay_ms: 0 }), 200);
  const other = await startPlatform();
  await other.stop();
  const disconnectedClient = createPlatformClient({ address: other.address });
  await assert.rejects(
    disconnectedClient.write(createWrite('f')),
    expectFailure(PlatformFailure.Unavailable),
  );
  await disconnectedClient.close();
});

test('a value above the size limit and an invalid control request are refused', async () => {
  const large = { ...createWrite('g'), value: 'x'.repeat(1_048_577) };
  await assert.rejects(client.write(large), expectFailure(PlatformFailure.Invalid));
  assert.equal(await sendControl({ outage: 'yes' }), 400);
});
