import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { ResultCode, RunState, ServiceState } from '@sardinegrade/common';
import fc from 'fast-check';

import { COMMANDS } from './commands/index.js';
import { ExitCode } from './enums.js';
import { runForTest } from './testing/runForTest.js';
import { startStubApi } from './testing/startStubApi.js';

import type { ProblemView, StatusView, VmView } from '@sardinegrade/common';
import type { StubCall, StubReply } from './testing/startStubApi.js';

const TEXT = `[service.counter]
kind = model
model = drill-7b
pool = engines
[service.counter.class.query]
tier = paying
[workspace.rig-desk]
key_sha256[] = ${'a'.repeat(64)}
[upstream.e1]
pool = engines
data_centre = hobart
address = http://127.0.0.1:9001
`;

const FILES = { 'fleet.ini': TEXT, 'faulty.ini': TEXT.replace('paying', 'gold') };

const RECORD = { generation: 8, text_generation: 8, author: 'ann', at_ms: 1_000 };

const createProblem = (code: ResultCode, status: number): StubReply => {
  const body: ProblemView = {
    type: 'urn:x',
    title: ResultCode[code],
    status,
    detail: 'What went wrong.',
    code,
    run: RunState.NotRun,
    next_step: 'What to do.',
  };
  return { status, body };
};

const createVm = (vm: string, generation: number | undefined): VmView => ({
  vm,
  data_centre: 'hobart',
  address: '127.0.0.1:7000',
  state: 'alive',
  generation,
  draining: false,
});

const createStatus = (vm: string, generation: number, vms: readonly VmView[]): StatusView => ({
  vm,
  data_centre: 'hobart',
  ready: true,
  generation,
  highest_generation: 8,
  drains: [],
  services: [
    {
      name: 'counter',
      kind: 'model',
      pool: 'engines',
      depends_on: [],
      state: vm === 'vm-1' ? ServiceState.Serving : ServiceState.Degraded,
      reasons: vm === 'vm-1' ? [] : ['upstream e1 is slow'],
      upstreams_in_use: 1,
      upstreams: 1,
      classes: [
        {
          name: 'query',
          tier: 'paying',
          priority: 0,
          first_token_target_ms: 1_200,
          token_interval_target_ms: 78,
          deadline_ms: 120_000,
          minimum_share: 0,
          queued: 2,
          queue_limit: 10,
          attainment: { requests: 10, attained: 9, share: 0.9 },
          first_token: { count: 10, p50_ms: 400, p95_ms: vm === 'vm-1' ? 640 : 900, p99_ms: 950 },
        },
      ],
    },
  ],
  vms: [...vms],
});

const withStubs = async (
  answers: readonly ((call: StubCall) => StubReply)[],
  run: (addresses: readonly string[], calls: readonly (readonly StubCall[])[]) => Promise<void>,
): Promise<void> => {
  const stubs = await Promise.all(answers.map((answer) => startStubApi(answer)));
  try {
    await run(
      stubs.map(({ address }) => address),
      stubs.map(({ calls }) => calls),
    );
  } finally {
    for (const stub of stubs) stub.close();
  }
};

test('check works without a daemon', async () => {
  const valid = await runForTest(['check', 'fleet.ini'], { files: FILES });
  assert.equal(valid.exitCode, ExitCode.Success);
  assert.match(valid.out, /fleet\.ini is valid: 1 services, 1 workspaces, 1 upstreams/);
  const faulty = await runForTest(['check', 'faulty.ini'], { files: FILES });
  assert.equal(faulty.exitCode, ExitCode.Invalid);
  assert.match(faulty.error, /faulty\.ini:6: service\.counter\.class\.query\.tier: 'gold'/);
  assert.match(faulty.error, /next: /);
});

test('check --as checks files with the checkers of the environment', async () => {
  const checkers = {
    settings: (text: string) =>
      text === ''
        ? { faults: [{ key: 'zone', message: 'is missing' }], summary: '' }
        : { faults: [], summary: 'VM a' },
  };
  const files = { 'node.json': '{}', 'empty.json': '' };
  const args = ['--as', 'settings'];
  const valid = await runForTest(['check', 'node.json', ...args], { files, checkers });
  assert.deepEqual([valid.exitCode, valid.out], [ExitCode.Success, 'node.json is valid: VM a.\n']);
  const faulty = await runForTest(['check', 'empty.json', ...args], { files, checkers });
  assert.equal(faulty.exitCode, ExitCode.Invalid);
  assert.match(faulty.error, /empty\.json: zone: is missing/);
  const unknown = await runForTest(['check', 'node.json', '--as', 'poem'], { files, checkers });
  assert.equal(unknown.exitCode, ExitCode.Usage);
  assert.match(unknown.error, /one of: settings/);
});

test('two files are compared without a daemon', async () => {
  const files = { ...FILES, 'new.ini': TEXT.replace('paying', 'premium') };
  const args = ['diff', 'fleet.ini', 'new.ini'];
  const run = await runForTest([...args, '--exit-code'], { files });
  assert.equal(run.exitCode, ExitCode.Different);
  assert.equal(run.out, '~ service.counter.class.query.tier = paying -> premium\n');
  assert.equal((await runForTest(args, { files })).exitCode, ExitCode.Success);
});

test('apply waits until the change is active on every VM', async () => {
  let statusReads = 0;
  const answer = ({ method }: StubCall): StubReply => {
    if (method === 'PUT') return { body: RECORD };
    statusReads += 1;
    const vms = [createVm('vm-1', 8), createVm('vm-2', statusReads < 3 ? 7 : 8)];
    return { body: createStatus('vm-1', 8, vms) };
  };
  await withStubs([answer], async (addresses, [calls]) => {
    const args = ['apply', 'fleet.ini', '--expect', '7'];
    const run = await runForTest(args, { files: FILES, addresses });
    assert.equal(run.exitCode, ExitCode.Success);
    assert.match(run.out, /Generation 8 accepted, in force at 2 of 2 VMs/);
    assert.match(run.error, /in force at 1 of 2 VMs/);
    const [put] = calls ?? [];
    assert.equal(put?.headers['if-match'], '"7"');
    assert.equal(put.headers.authorization, 'Bearer test-key');
    assert.equal(put.body, TEXT);
  });
});

test('apply lists the VMs on which the change is not known to be active', async () => {
  const answer = ({ method }: StubCall): StubReply => {
    if (method === 'PUT') return { body: RECORD };
    return { body: createStatus('vm-1', 8, [createVm('vm-1', 8), createVm('vm-2', undefined)]) };
  };
  await withStubs([answer], async (addresses) => {
    const args = ['apply', 'fleet.ini', '--expect', '7', '--json'];
    const run = await runForTest(args, { files: FILES, addresses });
    assert.equal(run.exitCode, ExitCode.NotActive);
    assert.deepEqual((JSON.parse(run.out) as { missing: unknown }).missing, ['vm-2']);
    assert.equal(run.error, '');
  });
});

test('apply without --expect is based on the active generation', async () => {
  const answer = ({ method }: StubCall): StubReply =>
    method === 'GET' ? { body: createStatus('vm-1', 7, []) } : { body: RECORD };
  await withStubs([answer], async (addresses, [calls]) => {
    const run = await runForTest(['apply', 'fleet.ini', '--no-wait'], { files: FILES, addresses });
    assert.equal(run.out, 'Generation 8 accepted.\n');
    assert.equal(calls?.[1]?.headers['if-match'], '"7"');
  });
});

test('the first configuration is based on generation 0', async () => {
  const empty: StatusView = { ...createStatus('vm-1', 0, []), highest_generation: 0, services: [] };
  const answer = ({ method }: StubCall): StubReply =>
    method === 'GET' ? { body: empty } : { body: { ...RECORD, generation: 1 } };
  await withStubs([answer], async (addresses, [calls]) => {
    const status = await runForTest(['status'], { addresses });
    assert.match(status.out, /No configuration is in force yet.*sardinegrade apply/);
    await runForTest(['apply', 'fleet.ini', '--no-wait'], { files: FILES, addresses });
    assert.equal(calls?.at(-1)?.headers['if-match'], '"0"');
  });
});

test('if a daemon is unreachable, the change is sent to the next one with the same id', async () => {
  const answerBroken = (): StubReply => ({ status: 502, body: 'no gateway' });
  await withStubs([answerBroken, () => ({ body: RECORD })], async (addresses, [first, second]) => {
    const args = ['apply', 'fleet.ini', '--expect', '7', '--no-wait'];
    const run = await runForTest(args, { files: FILES, addresses });
    assert.equal(run.exitCode, ExitCode.Success);
    const ids = [first, second].map((calls) => calls?.[0]?.headers['idempotency-key']);
    assert.equal(ids[0], ids[1]);
    assert.ok(ids[0] !== undefined);
  });
});

const PROBLEMS: readonly (readonly [ResultCode, number, ExitCode])[] = [
  [ResultCode.GenerationConflict, 412, ExitCode.Conflict],
  [ResultCode.RoleMissing, 403, ExitCode.Forbidden],
  [ResultCode.PlatformUnavailable, 503, ExitCode.Unreachable],
  [ResultCode.Internal, 500, ExitCode.Failed],
];

for (const [code, status, exitCode] of PROBLEMS) {
  test(`${ResultCode[code]} ends with exit code ${exitCode} and prints the next step`, () =>
    withStubs([() => createProblem(code, status)], async (addresses, [calls]) => {
      const args = ['apply', 'fleet.ini', '--expect', '7'];
      const run = await runForTest(args, { files: FILES, addresses });
      assert.equal(run.exitCode, exitCode);
      assert.match(run.error, /What went wrong.*\nnext: What to do\./);
      assert.equal(calls?.length, 1);
    }));
}

test('status adds up the counts of several VMs and lists those that did not answer', async () => {
  const answers = ['vm-1', 'vm-2'].map((vm) => () => ({
    body: createStatus(vm, 8, [createVm('vm-1', 8), createVm('vm-2', vm === 'vm-2' ? 8 : 7)]),
  }));
  await withStubs(answers, async (live) => {
    const addresses = [...live, 'http://127.0.0.1:1'];
    const json = await runForTest(['status', '--json'], { addresses });
    const status = JSON.parse(json.out) as StatusView & { silent: readonly string[] };
    const [service] = status.services;
    assert.equal(service?.state, ServiceState.Degraded);
    assert.deepEqual(service.classes[0]?.attainment, { requests: 20, attained: 18, share: 0.9 });
    assert.equal(service.classes[0].queued, 4);
    assert.equal(service.classes[0].first_token?.p95_ms, 900);
    assert.deepEqual(
      status.vms.map(({ vm, generation }) => [vm, generation]),
      [
        ['vm-1', 8],
        ['vm-2', 8],
      ],
    );
    assert.equal(status.silent.length, 1);
    const text = await runForTest(['status'], { addresses });
    assert.match(text.out, /As 2 of 3 VMs asked see it/);
    assert.match(text.out, /counter\.query +paying +4\/10 +90\.0 % +20 +900\/1200 ms +-\/78 ms/);
    assert.match(text.out, /Without these VMs:\nhttp:\/\/127\.0\.0\.1:1/);
  });
});

test('watch repeats until the operator interrupts', () =>
  withStubs([() => ({ body: { upstreams: [] } })], async (addresses, [calls]) => {
    const run = await runForTest(['upstreams', '--watch', '1s', '--json'], {
      addresses,
      sleepLimit: 3,
    });
    assert.equal(run.exitCode, ExitCode.Success);
    assert.equal(run.out.trim().split('\n').length, 3);
    assert.equal(calls?.length, 3);
    const refused = await runForTest(['show', '--watch'], { addresses });
    assert.equal(refused.exitCode, ExitCode.Usage);
  }));

test('explain queries every VM and reports a request that none of them has', async () => {
  const explanation = {
    request_id: 'r1',
    vm: 'vm-2',
    service: 'counter',
    class: 'query',
    workspace: 'rig-desk',
    arrived_at_ms: 1_000,
    summary: 'Ended after 12 ms with QueueFull (2002).',
    decisions: [{ at_ms: 1_012, after_ms: 12, kind: 'refused', detail: 'queue full', code: 2002 }],
    omitted: 0,
  };
  const answerUnknown = (): StubReply => createProblem(ResultCode.UnknownTarget, 404);
  await withStubs([answerUnknown, () => ({ body: explanation })], async (addresses) => {
    const found = await runForTest(['explain', 'r1'], { addresses });
    assert.equal(found.exitCode, ExitCode.Success);
    assert.match(found.out, /Request r1 at vm-2/);
    assert.match(found.out, /\+12 ms +refused +- +2002 +queue full/);
    const [first = ''] = addresses;
    const missing = await runForTest(['explain', 'r1'], { addresses: [first] });
    assert.equal(missing.exitCode, ExitCode.NotFound);
    assert.match(missing.error, /None of the 1 VMs asked.*\nnext: Ask every VM/);
  });
});

test('a settlement needs a verdict and a reason', async () => {
  const order = {
    workspace: 'rig-desk',
    service: 'booking',
    key: 'bit 17/a',
    state: 'done',
    request_id: 'r1',
    owner: 'vm-1',
    accepted_at_ms: 1_000,
    audit: [{ at_ms: 2_000, by: 'operator:ann', event: 'SETTLE_RUN', to: 'done', reason: 'seen' }],
  };
  await withStubs([() => ({ body: order })], async (addresses, [calls]) => {
    const settle = ['orders', 'settle', 'rig-desk', 'booking', 'bit 17/a'];
    for (const wrong of [
      [],
      ['--run'],
      ['--run', '--not-run', '--reason', 'seen'],
      ['--reason', 'x'],
    ]) {
      const run = await runForTest([...settle, ...wrong], { addresses });
      assert.equal(run.exitCode, ExitCode.Usage, wrong.join(' '));
    }
    assert.equal(calls?.length, 0);
    const run = await runForTest([...settle, '--run', '--reason', 'seen'], { addresses });
    assert.match(run.out, /operator:ann +SETTLE_RUN +done +seen/);
    assert.equal(calls[0]?.path, '/v1/orders/rig-desk/booking/bit%2017%2Fa/settlement');
    assert.deepEqual(JSON.parse(calls[0].body), { verdict: 'run', reason: 'seen' });
  });
});

test('drain waits until the upstream runs no requests', async () => {
  let granted = 2;
  const answer = ({ method, path }: StubCall): StubReply => {
    if (method === 'PUT') return { body: RECORD };
    if (path === '/v1/status') return { body: createStatus('vm-1', 8, []) };
    granted -= 1;
    const base = { pool: 'p', data_centre: 'd', address: 'a', slots: 1, fencing: 'ignored' };
    return { body: { upstreams: [{ id: 'e1', ...base, draining: true, granted }] } };
  };
  await withStubs([answer], async (addresses, [calls]) => {
    const run = await runForTest(['drain', 'engine', 'e1'], { addresses });
    assert.equal(run.exitCode, ExitCode.Success);
    assert.match(run.out, /e1 runs nothing now/);
    assert.equal(calls?.[0]?.path, '/v1/drains/upstream/e1');
    const wrong = await runForTest(['drain', 'rack', 'r1'], { addresses });
    assert.equal(wrong.exitCode, ExitCode.Usage);
  });
});

test('control characters in names do not reach the terminal', async () => {
  const order = {
    workspace: '\u001b[2Jx',
    service: 's',
    key: 'k\u009b2J',
    state: 'done',
    request_id: 'r',
    owner: 'v',
    accepted_at_ms: 0,
    audit: [],
  };
  const answer = ({ path }: StubCall): StubReply => ({
    body: path.endsWith('/a/b/c') ? order : { orders: [order] },
  });
  await withStubs([answer], async (addresses) => {
    for (const args of [['list'], ['show', 'a', 'b', 'c']]) {
      const run = await runForTest(['orders', ...args], { addresses });
      assert.equal(run.exitCode, ExitCode.Success);
      assert.doesNotMatch(run.out, /[\u001b\u009b]/);
    }
  });
});

test('no command line and no answer of a daemon causes an uncaught exception', async () => {
  const body = fc.oneof(fc.json(), fc.string(), fc.constant(JSON.stringify(RECORD)));
  const status = fc.constantFrom(200, 204, 400, 404, 500);
  const names = COMMANDS.map(({ usage }) => usage.split(' ')[0] ?? '');
  const word = fc.oneof(
    fc.constantFrom(...names, 'fleet.ini', 'list', 'show', 'settle', '--json', '--no-wait', '--'),
    fc.constantFrom('--expect', '--run', '--reason', '--limit', '--exit-code', 'vm', 'upstream'),
    fc.string(),
  );
  const args = fc.tuple(fc.constantFrom(...names), fc.array(word, { maxLength: 5 }));
  let reply: StubReply = { body: '' };
  await withStubs([() => reply], async (addresses) => {
    const property = fc.asyncProperty(args, body, status, async ([name, rest], text, code) => {
      reply = { status: code, body: text };
      // Help options are left out: cac writes the help directly to standard output.
      const words = [name, ...rest].filter((part) => !/^--?h/.test(part));
      const run = await runForTest(words, { files: FILES, addresses, sleepLimit: 5 });
      assert.ok(run.exitCode in ExitCode);
      assert.ok(run.exitCode === ExitCode.Success || run.error !== '' || run.out !== '');
    });
    await fc.assert(property, { seed: 7, numRuns: 200 });
  });
});

test('docs/CLI.md lists every command, option and exit code', () => {
  const page = readFileSync(new URL('../../../docs/CLI.md', import.meta.url), 'utf8');
  for (const { usage, options } of COMMANDS) {
    assert.ok(page.includes(`\`${usage}\``), usage);
    for (const { flags } of options) assert.ok(page.includes(`\`${flags}\``), flags);
  }
  const rows = [...page.matchAll(/^\| (\d+) +\|/gm)].map((match) => Number(match[1]));
  const codes = Object.values(ExitCode).filter((code) => typeof code === 'number');
  assert.deepEqual(rows, codes);
});
