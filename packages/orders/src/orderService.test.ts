import assert from 'node:assert/strict';
import { test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';

import { ResultCode, RunState, ServiceKind, SYSTEM_CLOCK, toBranded } from '@sardinegrade/common';
import { PlatformError, PlatformFailure, WriteOutcome } from '@sardinegrade/platform';

import { ANSWER_KEEP_LIMIT_BYTES, DEFAULT_ORDER_TIMINGS } from './constants.js';
import { CallOutcome, LookupOutcome, OrderState, SettlementVerdict } from './enums.js';
import { createOrderService } from './orderService.js';
import { createWriteBudget } from './writeBudget.js';

import type { ServiceConfiguration } from '@sardinegrade/common';
import type { ObjectWrite, PlatformClient, PlatformObject } from '@sardinegrade/platform';
import type {
  CallResult,
  LookupResult,
  OrderResult,
  OrderServiceOptions,
  OrderSubmission,
  ServiceCall,
} from './types.js';

const SERVICE: ServiceConfiguration = {
  name: toBranded('booking'),
  kind: ServiceKind.Plain,
  model: undefined,
  pool: toBranded('booking'),
  dependsOn: [],
  classes: new Map(),
  defaultClass: toBranded('query'),
  repeatableMethods: new Set(['GET']),
  upstreamDeduplicates: false,
  statusLookupPath: '/status/{key}',
  orderRetentionMs: 60_000,
  retry: { budgetShare: 0.1, attemptLimit: 3 },
};

interface Bench {
  readonly objects: Map<string, PlatformObject>;
  readonly calls: ServiceCall[];
  /** Thrown by the next writes, before or after they take effect. */
  readonly writeFaults: { failure: PlatformFailure; hasEffect: boolean }[];
  answer: (call: ServiceCall) => CallResult | Promise<CallResult>;
  lookup: LookupResult;
  nowMs: number;
  writes: number;
}

const createBench = (): Bench => ({
  objects: new Map(),
  calls: [],
  writeFaults: [],
  answer: (call) => ({
    outcome: CallOutcome.Answered,
    answer: {
      status: 201,
      headers: { 'content-type': 'text/plain' },
      body: Buffer.from(call.attemptId),
    },
  }),
  lookup: { outcome: LookupOutcome.Unavailable },
  nowMs: 1_000_000,
  writes: 0,
});

const createPlatform = (bench: Bench): PlatformClient => {
  let version = 0;
  const apply = (name: string, ifVersion: number, next: () => PlatformObject | undefined) => {
    const current = bench.objects.get(name);
    if ((current?.version ?? 0) !== ifVersion) {
      return { outcome: WriteOutcome.Conflict as const, current };
    }
    version += 1;
    const object = next();
    if (object === undefined) bench.objects.delete(name);
    else bench.objects.set(name, object);
    return { outcome: WriteOutcome.Written as const, version };
  };
  const write = (change: ObjectWrite) => {
    const { kind, name, changeId } = change;
    const value: unknown = JSON.parse(JSON.stringify(change.value));
    return apply(name, change.ifVersion, () => ({ kind, name, version, changeId, value }));
  };
  return {
    read: (_, name) => Promise.resolve(bench.objects.get(name)),
    list: (kind) =>
      Promise.resolve({
        objects: [...bench.objects.values()].filter((object) => object.kind === kind),
        next: undefined,
      }),
    write: (change) => {
      bench.writes += 1;
      const fault = bench.writeFaults.shift();
      if (fault === undefined) return Promise.resolve(write(change));
      if (fault.hasEffect) write(change);
      return Promise.reject(new PlatformError(fault.failure, 'fault'));
    },
    remove: (_, name, ifVersion) => Promise.resolve(apply(name, ifVersion, () => undefined)),
    watch: () => Promise.reject(new Error('not used')),
    listVms: () => Promise.resolve([]),
  };
};

let ids = 0;

const createDaemon = (bench: Bench, change: Partial<OrderServiceOptions> = {}) =>
  createOrderService({
    platform: createPlatform(bench),
    caller: {
      callService: async (call) => {
        bench.calls.push(call);
        return bench.answer(call);
      },
      lookupStatus: () => Promise.resolve(bench.lookup),
    },
    clock: { getNowMs: () => bench.nowMs },
    getMonotonicMs: () => bench.nowMs,
    sleep: (durationMs) =>
      durationMs > 5_000 ? new Promise<void>(() => undefined) : sleep(Math.min(durationMs, 20)),
    vm: toBranded('vm-1'),
    newId: () => `id-${(ids += 1)}`,
    writeBudget: createWriteBudget({ clock: SYSTEM_CLOCK, writesPerSecond: 100, burst: 100 }),
    timings: DEFAULT_ORDER_TIMINGS,
    findService: () => SERVICE,
    isVmGone: () => false,
    onIncident: () => undefined,
    ...change,
  });

const buildOrder = (bench: Bench, change: Partial<OrderSubmission> = {}): OrderSubmission => ({
  workspace: toBranded('rig-desk'),
  service: SERVICE,
  key: 'key-1',
  request: { method: 'POST', path: '/orders', headers: {}, body: Buffer.from('bit') },
  requestId: toBranded('request-1'),
  traceparent: '',
  deadlineAtMs: bench.nowMs + 10_000,
  concurrency: 4,
  ...change,
});

const getAnswer = (result: OrderResult): string => {
  assert.ok('answer' in result, JSON.stringify(result));
  return result.answer.body.toString();
};

const expectError = (result: OrderResult, code: ResultCode, run: RunState) => {
  assert.ok('error' in result, JSON.stringify(result));
  assert.equal(result.error.code, code);
  assert.equal(result.error.run, run);
};

test('an order runs once and its resends get the same answer, over any VM', async () => {
  const bench = createBench();
  const order = buildOrder(bench);
  const first = getAnswer(await createDaemon(bench).submitOrder(order));
  const resend = await createDaemon(bench, { vm: toBranded('vm-2') }).submitOrder(order);
  assert.equal(getAnswer(resend), first);
  assert.equal(bench.calls.length, 1);
});

test('the same key at once is called once', async () => {
  const bench = createBench();
  const daemon = createDaemon(bench);
  const other = createDaemon(bench, { vm: toBranded('vm-2') });
  const order = buildOrder(bench);
  await Promise.all([daemon, daemon, other, other].map((each) => each.submitOrder(order)));
  assert.equal(bench.calls.length, 1);
});

test('the same key with another body is refused, another workspace has keys of its own', async () => {
  const bench = createBench();
  const daemon = createDaemon(bench);
  await daemon.submitOrder(buildOrder(bench));
  const request = { ...buildOrder(bench).request, body: Buffer.from('other') };
  const mismatch = await daemon.submitOrder(buildOrder(bench, { request }));
  expectError(mismatch, ResultCode.OrderBodyMismatch, RunState.NotRun);
  await daemon.submitOrder(buildOrder(bench, { request, workspace: toBranded('other') }));
  assert.equal(bench.calls.length, 2);
});

test('a lost write answer is read back; the order runs once', async () => {
  for (const hasEffect of [true, false]) {
    const bench = createBench();
    bench.writeFaults.push({ failure: PlatformFailure.Uncertain, hasEffect });
    getAnswer(await createDaemon(bench).submitOrder(buildOrder(bench)));
    assert.equal(bench.calls.length, 1);
  }
});

test('a platform that takes no writes refuses the order as not run', async () => {
  const bench = createBench();
  const timings = { ...DEFAULT_ORDER_TIMINGS, acceptTimeoutMs: 0 };
  bench.writeFaults.push({ failure: PlatformFailure.Unavailable, hasEffect: false });
  const result = await createDaemon(bench, { timings }).submitOrder(buildOrder(bench));
  expectError(result, ResultCode.PlatformUnavailable, RunState.NotRun);
  assert.equal(bench.calls.length, 0);
});

test('while the platform is down, each order is refused after one try', async () => {
  const bench = createBench();
  const daemon = createDaemon(bench);
  const fault = { failure: PlatformFailure.Unavailable, hasEffect: false };
  bench.writeFaults.push(...Array.from({ length: 6 }, () => fault));
  const [first, second] = ['key-1', 'key-2'].map((key) => buildOrder(bench, { key }));
  assert.ok(first !== undefined && second !== undefined);
  const refused = await daemon.submitOrder(first);
  expectError(refused, ResultCode.PlatformUnavailable, RunState.NotRun);
  const refusedAtOnce = await daemon.submitOrder(second);
  expectError(refusedAtOnce, ResultCode.PlatformUnavailable, RunState.NotRun);
  assert.equal(bench.writes, 6);
  getAnswer(await daemon.submitOrder(second));
});

test('a lost answer leaves the order unknown until the status look-up settles it', async () => {
  const bench = createBench();
  const daemon = createDaemon(bench);
  bench.answer = () => ({ outcome: CallOutcome.Unknown, cause: 'cut' });
  const order = buildOrder(bench);
  expectError(await daemon.submitOrder(order), ResultCode.OrderUnknown, RunState.Unknown);
  expectError(await daemon.submitOrder(order), ResultCode.OrderUnknown, RunState.Unknown);
  const answer = { status: 200, headers: {}, body: Buffer.from('found') };
  bench.lookup = { outcome: LookupOutcome.Done, answer };
  assert.equal(getAnswer(await daemon.submitOrder(order)), 'found');
  assert.equal(bench.calls.length, 1);
});

test('an operator settles as not run only once no call can be on its way', async () => {
  const bench = createBench();
  const daemon = createDaemon(bench);
  bench.answer = () => ({ outcome: CallOutcome.Unknown, cause: 'cut' });
  const order = buildOrder(bench);
  await daemon.submitOrder(order);
  const settlement = {
    workspace: order.workspace,
    service: SERVICE.name,
    key: order.key,
    verdict: SettlementVerdict.NotRun,
    operator: 'alice',
    reason: 'not in the grinding queue',
  };
  await assert.rejects(daemon.settleOrder(settlement), { code: ResultCode.OrderNotSettleable });
  const reference = { workspace: order.workspace, service: SERVICE.name, key: order.key };
  assert.equal((await daemon.showOrder(reference)).settlementToken, undefined);
  bench.nowMs += 62_000;
  await assert.rejects(daemon.settleOrder(settlement), { code: ResultCode.OrderNotSettleable });
  const { settlementToken } = await daemon.showOrder(reference);
  assert.ok(settlementToken !== undefined);
  const { record } = await daemon.settleOrder({ ...settlement, settlementToken });
  assert.equal(record.state, OrderState.NotRun);
  assert.equal(record.audit.at(-1)?.by, 'operator:alice');
  await assert.rejects(daemon.settleOrder(settlement), { code: ResultCode.OrderNotSettleable });
});

test('a look-up that was sent too early does not settle an order as not run', async () => {
  const bench = createBench();
  const lookupStatus = () => {
    // The daemon is paused until long after the look-up was answered.
    bench.nowMs += 100_000;
    return Promise.resolve(bench.lookup);
  };
  const callService = () =>
    Promise.resolve({ outcome: CallOutcome.Unknown as const, cause: 'cut' });
  const daemon = createDaemon(bench, { caller: { callService, lookupStatus } });
  const order = buildOrder(bench, { deadlineAtMs: Infinity });
  await daemon.submitOrder(order);
  bench.lookup = { outcome: LookupOutcome.Absent };
  expectError(await daemon.submitOrder(order), ResultCode.OrderUnknown, RunState.Unknown);
});

test('a daemon that slept past its call window does not call on the old record', async () => {
  const bench = createBench();
  const daemon = createDaemon(bench);
  bench.answer = (call) => {
    if (bench.calls.length === 1) bench.nowMs += DEFAULT_ORDER_TIMINGS.callWindowMs;
    if (!call.canStart()) return { outcome: CallOutcome.NotStarted, cause: 'window' };
    const answer = { status: 200, headers: {}, body: Buffer.from(call.attemptId) };
    return { outcome: CallOutcome.Answered, answer };
  };
  const answer = getAnswer(await daemon.submitOrder(buildOrder(bench)));
  assert.equal(bench.calls.length, 2);
  assert.equal(answer, bench.calls[1]?.attemptId);
  assert.notEqual(bench.calls[0]?.attemptId, answer);
});

test('answers past their retention and answers too large are said to have run', async () => {
  const bench = createBench();
  const daemon = createDaemon(bench);
  const order = buildOrder(bench);
  await daemon.submitOrder(order);
  bench.nowMs += SERVICE.orderRetentionMs + 1;
  const late = { ...order, deadlineAtMs: bench.nowMs + 1_000 };
  expectError(await daemon.submitOrder(late), ResultCode.OrderExpired, RunState.Run);
  const body = Buffer.alloc(ANSWER_KEEP_LIMIT_BYTES + 1, 'a');
  bench.answer = () => ({
    outcome: CallOutcome.Answered,
    answer: { status: 200, headers: {}, body },
  });
  const large = { ...late, key: 'key-2' };
  assert.equal(getAnswer(await daemon.submitOrder(large)).length, body.length);
  expectError(await daemon.submitOrder(large), ResultCode.AnswerNotKept, RunState.Run);
  assert.equal(bench.calls.length, 2);
});

test('a spent write budget refuses new orders as not run and still answers resends', async () => {
  const bench = createBench();
  const writeBudget = createWriteBudget({ clock: SYSTEM_CLOCK, writesPerSecond: 0.001, burst: 2 });
  const daemon = createDaemon(bench, { writeBudget });
  const order = buildOrder(bench);
  const first = getAnswer(await daemon.submitOrder(order));
  const refused = await daemon.submitOrder({ ...order, key: 'key-2' });
  expectError(refused, ResultCode.WriteBudgetSpent, RunState.NotRun);
  assert.equal(getAnswer(await daemon.submitOrder(order)), first);
  assert.equal(bench.writes, 2);
});

/** A daemon that has one order under way and one waiting, and never hears from the service. */
const startLostDaemon = async (bench: Bench) => {
  const never = new Promise<CallResult>(() => undefined);
  bench.answer = () => never;
  const lost = createDaemon(bench, { vm: toBranded('vm-2') });
  for (const key of ['key-1', 'key-2']) {
    void lost.submitOrder(buildOrder(bench, { key, concurrency: 1, deadlineAtMs: Infinity }));
  }
  await sleep(20);
  return lost;
};

test('a sweep takes over what was accepted by a daemon that is gone', async () => {
  const bench = createBench();
  await startLostDaemon(bench);
  bench.answer = createBench().answer;
  const daemon = createDaemon(bench, { isVmGone: (vm) => vm === 'vm-2' });
  const report = await daemon.sweepOrders(0, () => true);
  await daemon.drain();
  assert.deepEqual([report.seen, report.takenOver, report.unknown], [2, 1, 1]);
  const states = (await daemon.listOrders({})).orders.map(({ record }) => record.state);
  assert.deepEqual(states, [OrderState.Unknown, OrderState.Done]);
  assert.deepEqual(bench.calls.map((call) => call.scopedKey).sort(), [
    'rig-desk/key-1',
    'rig-desk/key-2',
  ]);
});

test('a record is removed, and its key forgotten, only after both retention periods', async () => {
  const bench = createBench();
  const daemon = createDaemon(bench);
  const order = buildOrder(bench, { deadlineAtMs: Infinity });
  await daemon.submitOrder(order);
  bench.nowMs += 2 * SERVICE.orderRetentionMs;
  assert.equal((await daemon.sweepOrders(0, () => true)).removed, 0);
  expectError(await daemon.submitOrder(order), ResultCode.OrderExpired, RunState.Run);
  bench.nowMs += DEFAULT_ORDER_TIMINGS.clockMarginMs + 1;
  assert.equal((await daemon.sweepOrders(0, () => true)).removed, 1);
  getAnswer(await daemon.submitOrder(order));
  assert.equal(bench.calls.length, 2);
});

test('a late answer settles what another daemon has called unknown', async () => {
  const bench = createBench();
  const answers: ((result: CallResult) => void)[] = [];
  bench.answer = () => new Promise((resolve) => answers.push(resolve));
  const order = buildOrder(bench, { deadlineAtMs: Infinity });
  const first = createDaemon(bench).submitOrder(order);
  await sleep(20);
  const other = createDaemon(bench, { vm: toBranded('vm-2'), isVmGone: () => true });
  expectError(await other.submitOrder(order), ResultCode.OrderUnknown, RunState.Unknown);
  const answer = { status: 201, headers: {}, body: Buffer.from('late') };
  answers[0]?.({ outcome: CallOutcome.Answered, answer });
  assert.equal(getAnswer(await first), 'late');
  assert.equal(getAnswer(await other.submitOrder(order)), 'late');
  assert.equal(bench.calls.length, 1);
});

test('what a daemon had open when it died is found by its list', async () => {
  const bench = createBench();
  const lost = await startLostDaemon(bench);
  await lost.publishOpenOrders();
  const writesBefore = bench.writes;
  bench.nowMs += 2_000;
  await lost.publishOpenOrders();
  await lost.publishOpenOrders();
  assert.equal(bench.writes, writesBefore + 1);
  bench.answer = createBench().answer;
  const daemon = createDaemon(bench, { isVmGone: (vm) => vm === 'vm-2' });
  const report = await daemon.sweepGoneDaemons();
  await daemon.drain();
  assert.deepEqual([report.seen, report.takenOver, report.unknown], [2, 1, 1]);
  assert.equal((await daemon.sweepGoneDaemons()).seen, 0);
});
