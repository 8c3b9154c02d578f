import assert from 'node:assert/strict';
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:https';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { connect } from 'node:tls';
import { fileURLToPath } from 'node:url';

import { Server } from '@grpc/grpc-js';
import {
  FleetProtocol,
  createFleetConnections,
  createFleetHandlers,
  createPeerCredentials,
  openPeerPort,
} from '@sardinegrade/peer';

import { hashKey, matchKey } from './keys.js';
import { ReloadingCertificate } from './ReloadingCertificate.js';

import type { Server as HttpsServer } from 'node:https';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';
import type { ConnectionOptions } from 'node:tls';

const FIXTURES = fileURLToPath(new URL('../../src/access/fixtures/', import.meta.url));

const getFiles = (name: string) => ({
  certificate: join(FIXTURES, `${name}.pem`),
  key: join(FIXTURES, `${name}.key`),
  authority: join(FIXTURES, 'authority.pem'),
});

const createTemporaryFolder = (context: TestContext): string => {
  const folder = mkdtempSync(join(tmpdir(), 'sardinegrade-'));
  context.after(() => rmSync(folder, { recursive: true }));
  return folder;
};

test('a key matches only its own hash', () => {
  const hashes = [hashKey('one'), hashKey('two')];
  assert.equal(matchKey('two', hashes), true);
  assert.equal(matchKey('three', hashes), false);
  assert.equal(matchKey('one', ['', 'zz']), false);
});

const getPort = (server: HttpsServer): number => (server.address() as AddressInfo).port;

const readSubject = (port: number, identity: ConnectionOptions = {}): Promise<string> =>
  new Promise((resolve, reject) => {
    const options = { host: '127.0.0.1', port, rejectUnauthorized: false, ...identity };
    const socket = connect(options, () => {
      const name = socket.getPeerCertificate().subject.CN;
      socket.destroy();
      resolve(String(name));
    });
    socket.once('error', reject);
  });

test('the certificate for callers is reloaded without a restart, and kept while the new files are invalid', async (context) => {
  const folder = createTemporaryFolder(context);
  const files = { certificate: join(folder, 'c.pem'), key: join(folder, 'c.key') };
  copyFileSync(getFiles('first').certificate, files.certificate);
  copyFileSync(getFiles('first').key, files.key);
  const certificate = new ReloadingCertificate(files, assert.ifError);
  const server = createServer(certificate.getCertificate());
  certificate.attach(server);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    certificate.stop();
    server.close();
  });
  assert.equal(certificate.loadChanges(), false);
  copyFileSync(getFiles('second').certificate, files.certificate);
  assert.throws(() => certificate.loadChanges());
  assert.equal(await readSubject(getPort(server)), 'first daemon');
  copyFileSync(getFiles('second').key, files.key);
  assert.equal(certificate.loadChanges(), true);
  assert.equal(await readSubject(getPort(server)), 'second daemon');
  writeFileSync(files.certificate, 'no certificate');
  assert.throws(() => certificate.loadChanges());
  assert.equal(await readSubject(getPort(server)), 'second daemon');
});

const openPeerServer = async (
  context: TestContext,
  { server: credentials }: ReturnType<typeof createPeerCredentials>,
): Promise<string> => {
  const server = new Server();
  context.after(() => server.forceShutdown());
  server.addService(
    FleetProtocol.FleetService,
    createFleetHandlers({
      ping: () => ({ from: 'vm-1', gossip: undefined, isUnknown: false }),
      pingIndirect: () => Promise.reject(new Error('not used')),
      sync: () => assert.fail('not used'),
      fetchConfiguration: () => assert.fail('not used'),
    }),
  );
  return `127.0.0.1:${await openPeerPort(server, '127.0.0.1:0', credentials)}`;
};

test('daemons accept only peer certificates signed by their own authority', async (context) => {
  const address = await openPeerServer(context, createPeerCredentials(getFiles('first')));
  const ping = async (credentials: ReturnType<typeof createPeerCredentials>) => {
    const connections = createFleetConnections(credentials.channel);
    context.after(connections.close);
    const request = { from: 'vm-2', to: 'vm-1', gossip: undefined };
    return connections.ping(address, request, 5_000);
  };
  assert.equal((await ping(createPeerCredentials(getFiles('second')))).from, 'vm-1');
  await assert.rejects(ping(createPeerCredentials(getFiles('stranger'))));
  await assert.rejects(ping(createPeerCredentials(undefined)));
});

test("a daemon's certificate for its peers is reloaded without a restart", async (context) => {
  const folder = createTemporaryFolder(context);
  const replaceFiles = (name: string): void => {
    copyFileSync(getFiles(name).certificate, join(folder, 'c.pem'));
    copyFileSync(getFiles(name).key, join(folder, 'c.key'));
  };
  replaceFiles('first');
  const files = {
    ...getFiles('first'),
    certificate: join(folder, 'c.pem'),
    key: join(folder, 'c.key'),
  };
  const address = await openPeerServer(context, createPeerCredentials(files, 20));
  const client = {
    cert: readFileSync(getFiles('second').certificate),
    key: readFileSync(getFiles('second').key),
    ALPNProtocols: ['h2'],
  };
  const waitForSubject = async (expected: string): Promise<void> => {
    const deadline = Date.now() + 60_000;
    const port = Number(address.split(':')[1]);
    // The server drops connections until it has read the files for the first time.
    while ((await readSubject(port, client).catch(() => '')) !== expected) {
      assert.ok(Date.now() < deadline, `timed out waiting for the certificate of the ${expected}`);
      await sleep(20);
    }
  };
  await waitForSubject('first daemon');
  replaceFiles('second');
  await waitForSubject('second daemon');
});
