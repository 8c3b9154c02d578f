import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';

import { Client } from 'undici';

import { DemoSystem, SAMPLE_KEYS } from '../demo/index.js';

const FIXTURES = new URL('../../../fleet/src/access/fixtures/', import.meta.url);
const TLS_NAME = 'sardinegrade-peer';

const getFixture = (name: string): string => fileURLToPath(new URL(name, FIXTURES));

const TLS = {
  certificate: getFixture('first.pem'),
  key: getFixture('first.key'),
  authority: getFixture('authority.pem'),
};

const askOver = async (address: string): Promise<string> => {
  const ca = readFileSync(TLS.authority, 'utf8');
  const client = new Client(`https://${address}`, { connect: { ca, servername: TLS_NAME } });
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

test('callers and daemons talk over TLS, and plain callers get nothing', async (context) => {
  const system = await DemoSystem.start({ port: 0, logLevel: 'error', tls: TLS });
  context.after(() => system.stop());
  // One of the two asks a dispatcher on the other, whichever that is.
  for (const { addresses } of system.vms) {
    assert.match(await askOver(addresses.callers), /data: \[DONE\]/);
    const plain = new Client(`http://${addresses.callers}`);
    await assert.rejects(plain.request({ method: 'GET', path: '/livez' }));
    await plain.destroy();
  }
});
