import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

import { Client } from 'undici';

import { DemoSystem, SAMPLE_KEYS } from '../demo/index.js';

const FIXTURES = new URL('../../../fleet/src/access/fixtures/', import.meta.url);
const TLS_SERVER_NAME = 'sardinegrade-peer';

const getFixturePath = (name: string): string => fileURLToPath(new URL(name, FIXTURES));

const TLS_FILES = {
  certificate: getFixturePath('first.pem'),
  key: getFixturePath('first.key'),
  authority: getFixturePath('authority.pem'),
};

const sendCompletion = async (address: string): Promise<string> => {
  const ca = readFileSync(TLS_FILES.authority, 'utf8');
  const client = new Client(`https://${address}`, { connect: { ca, servername: TLS_SERVER_NAME } });
  try {
    const response = await client.request({
      method: 'POST',
      path: '/v1/chat/completions',
      headers: { authorization: `Bearer ${SAMPLE_KEYS.counter}` },
      body: JSON.stringify({
        model: 'drill-7b',
        stream: true,
        max_tokens: 5,
        messages: [{ role: 'user', content: 'Is bit 4711 back?' }],
      }),
    });
    return await response.body.text();
  } finally {
    await client.destroy();
  }
};

test('callers and daemons communicate over TLS, and plaintext requests are rejected', async (context) => {
  const system = await DemoSystem.start({ port: 0, logLevel: 'error', tls: TLS_FILES });
  context.after(() => system.stop());
  // Only one of the two VMs has the dispatcher, so one of the requests also uses TLS between the daemons.
  for (const { addresses } of system.vms) {
    assert.match(await sendCompletion(addresses.callers), /data: \[DONE\]/);
    const plain = new Client(`http://${addresses.callers}`);
    await assert.rejects(plain.request({ method: 'GET', path: '/livez' }));
    await plain.destroy();
  }
});
