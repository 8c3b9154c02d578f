import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { ConfigurationError } from './errors.js';
import { parseConfiguration } from './parseConfiguration.js';

import type { PoolName, ServiceName, WorkspaceName } from '@sardinegrade/common';

const SEED = 20261204;
const HASH = 'a'.repeat(64);

const VALID = `[service.counter]
kind = model
model = drill-7b
pool = engines
depends[] = booking
[service.counter.class.query]
tier = paying
first_token_target = 800ms
minimum_share = 0.5
workspaces[] = rig-desk
[service.booking]
kind = plain
pool = desk
[service.booking.class.book]
tier = paying
[workspace.rig-desk]
key_sha256[] = ${HASH}
[upstream.e1]
pool = engines
data_centre = dc-a
address = http://127.0.0.1:9001
[upstream.d1]
pool = desk
data_centre = dc-a
address = http://127.0.0.1:9002
`;

const collectFaults = (text: string): readonly string[] => {
  try {
    parseConfiguration(text, 1);
  } catch (error) {
    assert.ok(error instanceof ConfigurationError, String(error));
    return error.message.split('\n');
  }
  return [];
};

const expectFault = (text: string, pattern: RegExp): void => {
  const faults = collectFaults(text);
  assert.ok(
    faults.some((fault) => pattern.test(fault)),
    `${String(pattern)} not in ${JSON.stringify(faults)}`,
  );
};

test('a valid text is parsed into typed values with defaults', () => {
  const configuration = parseConfiguration(VALID, 7);
  const service = configuration.services.get('counter' as ServiceName);
  assert.equal(configuration.generation, 7);
  assert.equal(service?.defaultClass, 'query');
  const [query] = [...service.classes.values()];
  assert.equal(query?.firstTokenTargetMs, 800);
  assert.equal(query.tokenIntervalTargetMs, 78);
  assert.deepEqual([...service.repeatableMethods], ['GET', 'HEAD']);
  assert.equal(configuration.pools.get('engines' as PoolName)?.models.at(0)?.model, 'drill-7b');
});

const FAULTS: readonly (readonly [name: string, from: string, to: string, pattern: RegExp])[] = [
  [
    'unknown key',
    'kind = plain',
    'kind = plain\ncolour = red',
    /:13: service\.booking\.colour: unknown key/,
  ],
  [
    'unknown section',
    '[workspace.rig-desk]',
    '[tenant.x]\na = 1\n[workspace.rig-desk]',
    /:\d+: tenant: unknown key/,
  ],
  [
    'dangling dependency',
    'depends[] = booking',
    'depends[] = billing',
    /:5: service\.counter\.depends: no service 'billing'; defined are counter, booking/,
  ],
  [
    'dangling workspace',
    'workspaces[] = rig-desk',
    'workspaces[] = rigs',
    /:10: .*no workspace 'rigs'; defined are rig-desk/,
  ],
  [
    'pool without upstreams',
    'pool = desk\n[service.booking.class',
    'pool = bench\n[service.booking.class',
    /:13: service\.booking\.pool: no upstream in pool 'bench'/,
  ],
  [
    'cycle',
    'kind = plain',
    'kind = plain\ndepends[] = counter',
    /cycle counter -> booking -> counter/,
  ],
  [
    'missing unit',
    '800ms',
    '800',
    /:8: .*first_token_target: '800' is not a duration.*ms, s, m, h, d/,
  ],
  [
    'wrong tier',
    'tier = paying',
    'tier = gold',
    /:7: .*tier: 'gold' is not accepted; write one of premium, paying, trial, free/,
  ],
  ['missing tier', 'tier = paying\nfirst', 'first', /:6: .*tier: is missing; write one of premium/],
  [
    'missing kind',
    'kind = plain\n',
    '',
    /service\.booking\.kind: is missing; write one of model, plain/,
  ],
  [
    'share over one',
    '0.5',
    '1.5',
    /:9: .*minimum_share: '1.5' is not accepted; write a number from 0 to 1/,
  ],
  [
    'shares over one in sum',
    '[service.booking]',
    '[service.counter.class.report]\ntier = free\nminimum_share = 0.6\n[service.booking]',
    /:13: .*add up to 1\.100; at most 1/,
  ],
  [
    'default class absent',
    'model = drill-7b',
    'model = drill-7b\ndefault_class = report',
    /:4: service\.counter\.default_class: no class 'report'; write one of query/,
  ],
  ['model missing', 'model = drill-7b\n', '', /service\.counter\.model: is missing/],
  [
    'duplicate key hash',
    '[upstream.e1]',
    `[workspace.other]\nkey_sha256[] = ${HASH}\n[upstream.e1]`,
    /:19: workspace\.other\.key_sha256: .*stands at workspace 'rig-desk'/,
  ],
  ['key not hashed', HASH, 'secret', /:17: workspace\.rig-desk\.key_sha256.*64 lower-case hex/],
  [
    'key written twice',
    'tier = paying\nfirst',
    'tier = paying\ntier = free\nfirst',
    /:8: .*tier: is written twice/,
  ],
  [
    'list without brackets',
    'depends[] = booking',
    'depends = booking',
    /:5: service\.counter\.depends: is a list; write the key with \[\]/,
  ],
  [
    'address without scheme',
    'http://127.0.0.1:9001',
    '127.0.0.1:9001',
    /:21: upstream\.e1\.address: .*http:\/\/host:port/,
  ],
];

for (const [name, from, to, pattern] of FAULTS) {
  test(`fault: ${name}`, () => {
    assert.ok(VALID.includes(from));
    expectFault(VALID.replace(from, to), pattern);
  });
}

test('a list contains every value, and comments are not treated as duplicate keys', () => {
  const text = `${VALID}[workspace.shop]\n; a = 1\n; a = 2\nkey_sha256[] = ${'b'.repeat(64)}\n`;
  const listed = `${text}key_sha256[] = ${'c'.repeat(64)}\n`;
  const workspace = parseConfiguration(listed, 1).workspaces.get('shop' as WorkspaceName);
  assert.equal(workspace?.keyHashes.length, 2);
});

test('fault: two services with one model', () => {
  const second = '[service.twin]\nkind = model\nmodel = drill-7b\npool = engines\n';
  const text = `${VALID}${second}[service.twin.class.a]\ntier = free\n`;
  expectFault(text, /service\.twin\.model: service 'counter' has model 'drill-7b' already/);
});

test('fault: size over the limit', () => {
  expectFault(`${VALID};${'x'.repeat(600_000)}`, /\(text\): holds \d+ bytes; at most 524288/);
});

test('any text is either parsed or rejected with a ConfigurationError', () => {
  const lines = VALID.split('\n');
  const line = fc.oneof(
    fc.constantFrom(...lines),
    fc.string(),
    fc.constantFrom('[__proto__]', '[service]', '[service.a.class]', 'class = x'),
  );
  fc.assert(
    fc.property(fc.array(line, { maxLength: 30 }), (parts) => {
      collectFaults(parts.join('\n'));
    }),
    { seed: SEED, numRuns: 500 },
  );
});
