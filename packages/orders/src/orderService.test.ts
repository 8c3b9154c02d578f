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

interface Fixture {
  readonly objects: Map<string, PlatformObject>;
  readonly calls: ServiceCall[];
  /** Failures of the next writes; `hasEffect` states whether the write takes effect before it fails. */
  readonly writeFaults: { failure: PlatformFailure; hasEffect: boolean }[];
  answer: (call: ServiceCall) => CallResult | Promise<CallResult>;
  lookup: LookupResult;
  nowMs: number;
  writes: number;
}

const createFixture = (): Fixture => ({
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

const createPlatform = (fixture: Fixture): PlatformClient => {
  let version = 0;
  const apply = (name: string, ifVersion: number, next: () => PlatformObject | undefined) => {
    const current = fixture.objects.get(name);
    if ((current?.version ?? 0) !== ifVersion) {
      return { outcome: WriteOutcome.Conflict as const, current };
    }
    version += 1;
    const object = next();
    if (object === undefined) fixture.objects.delete(name);
    else fixture.objects.set(name, object);
    return { outcome: WriteOutcome.Written as const, version };
  };
  const write = (change: ObjectWrite) => {
    const { kind, name, changeId } = change;
    const value: unknown = JSON.parse(JSON.stringify(change.value));
    return apply(name, change.ifVersion, () => ({ kind, name, version, changeId, value }));
  };
  return {
    read: (_, name) => Promise.resolve(fixture.objects.get(name)),
    list: (kind) =>
      Promise.resolve({
        objects: [...fixture.objects.values()].filter((object) => object.kind === kind),
        next: undefined,
      }),
    write: (change) => {
      fixture.writes += 1;
      const fault = fixture.writeFaults.shift();
      if (fault === undefined) return Promise.resolve(write(change));
      if (fault.hasEffect) write(change);
      return Promise.reject(new PlatformError(fault.failure, 'fault'));
    },
    remove: (_, name, ifVersion) => Promise.resolve(apply(name, ifVersion, () => undefined)),
    watch: () => Promise.reject(new Error('not used')),
    listVms: () => Promise.resolve([]),
  };
};

let idCount = 0;

const createDaemon = (fixture: Fixture, change: Partial<OrderServiceOptions> = {}) =>
  createOrderService({
    platform: createPlatform(fixture),
    serviceClient: {
      callService: async (call) => {
        fixture.calls.push(call);
        return fixture.answer(call);
      },
      lookupStatus: () => Promise.resolve(fixture.lookup),
    },
    clock: { getNowMs: () => fixture.nowMs },
    getMonotonicMs: () => fixture.nowMs,
    sleep: (durationMs) =>
      durationMs > 5_000 ? new Promise<void>(() => undefined) : sleep(Math.min(durationMs, 20)),
    vm: toBranded('vm-1'),
    newId: () => `id-${(idCount += 1)}`,
    writeBudget: createWriteBudget({ clock: SYSTEM_CLOCK, writesPerSecond: 100, burst: 100 }),
    timings: DEFAULT_ORDER_TIMINGS,
    findService: () => SERVICE,
    isVmGone: () => false,
    onIncident: () => undefined,
    ...change,
  });

const buildOrder = (fixture: Fixture, change: Partial<OrderSubmission> = {}): OrderSubmission => ({
  workspace: toBranded('rig-desk'),
  service: SERVICE,
  key: 'key-1',
  request: { method: 'POST', path: '/orders', headers: {}, body: Buffer.from('bit') },
  requestId: toBranded('request-1'),
  traceparent: '',
  deadlineAtMs: fixture.nowMs + 10_000,
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

test('an order runs once, and repeated requests to any VM get the same answer', async () => {
  const fixture = createFixture();
  const order = buildOrder(fixture);
  const first = getAnswer(await createDaemon(fixture).submitOrder(order));
  const repeated = await createDaemon(fixture, { vm: toBranded('vm-2') }).submitOrder(order);
  assert.equal(getAnswer(repeated), first);
  assert.equal(fixture.calls.length, 1);
});

test('concurrent requests with the same key call the service once', async () => {
  const fixture = createFixture();
  const daemon = createDaemon(fixture);
  const other = createDaemon(fixture, { vm: toBranded('vm-2') });
  const order = buildOrder(fixture);
  await Promise.all([daemon, daemon, other, other].map((each) => each.submitOrder(order)));
  assert.equal(fixture.calls.length, 1);
});

test('a key is refused with another body, and may be used again in another workspace', async () => {
  const fixture = createFixture();
  const daemon = createDaemon(fixture);
  await daemon.submitOrder(buildOrder(fixture));
  const request = { ...buildOrder(fixture).request, body: Buffer.from('other') };
  const mismatch = await daemon.submitOrder(buildOrder(fixture, { request }));
  expectError(mismatch, ResultCode.OrderBodyMismatch, RunState.NotRun);
  await daemon.submitOrder(buildOrder(fixture, { request, workspace: toBranded('other') }));
  assert.equal(fixture.calls.length, 2);
});

test('after a write with an unknown outcome the record is read back, and the order runs once', async () => {
  for (const hasEffect of [true, false]) {
    const fixture = createFixture();
    fixture.writeFaults.push({ failure: PlatformFailure.Uncertain, hasEffect });
    getAnswer(await createDaemon(fixture).submitOrder(buildOrder(fixture)));
    assert.equal(fixture.calls.length, 1);
  }
});

test('an order that the platform cannot record is refused as not run', async () => {
  const fixture = createFixture();
  const timings = { ...DEFAULT_ORDER_TIMINGS, acceptTimeoutMs: 0 };
  fixture.writeFaults.push({ failure: PlatformFailure.Unavailable, hasEffect: false });
  const result = await createDaemon(fixture, { timings }).submitOrder(buildOrder(fixture));
  expectError(result, ResultCode.PlatformUnavailable, RunState.NotRun);
  assert.equal(fixture.calls.length, 0);
});

test('while the platform is down, each order is refused after one write attempt', async () => {
  const fixture = createFixture();
  const daemon = createDaemon(fixture);
  const fault = { failure: PlatformFailure.Unavailable, hasEffect: false };
  fixture.writeFaults.push(...Array.from({ length: 6 }, () => fault));
  const [first, second] = ['key-1', 'key-2'].map((key) => buildOrder(fixture, { key }));
  assert.ok(first !== undefined && second !== undefined);
  const refused = await daemon.submitOrder(first);
  expectError(refused, ResultCode.PlatformUnavailable, RunState.NotRun);
  const refusedAtOnce = await daemon.submitOrder(second);
  expectError(refusedAtOnce, ResultCode.PlatformUnavailable, RunState.NotRun);
  assert.equal(fixture.writes, 6);
  getAnswer(await daemon.submitOrder(second));
});

test('an order whose answer is lost stays unknown until the status look-up settles it', async () => {
  const fixture = createFixture();
  const daemon = createDaemon(fixture);
  fixture.answer = () => ({ outcome: CallOutcome.Unknown, cause: 'cut' });
  const order = buildOrder(fixture);
  expectError(await daemon.submitOrder(order), ResultCode.OrderUnknown, RunState.Unknown);
  expectError(await daemon.submitOrder(order), ResultCode.OrderUnknown, RunState.Unknown);
  const answer = { status: 200, headers: {}, body: Buffer.from('found') };
  fixture.lookup = { outcome: LookupOutcome.Done, answer };
  assert.equal(getAnswer(await daemon.submitOrder(order)), 'found');
  assert.equal(fixture.calls.length, 1);
});

test('an operator can settle an order as not run only once its call can no longer be in flight', async () => {
  const fixture = createFixture();
  const daemon = createDaemon(fixture);
  fixture.answer = () => ({ outcome: CallOutcome.Unknown, cause: 'cut' });
  const order = buildOrder(fixture);
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
  fixture.nowMs += 62_000;
  await assert.rejects(daemon.settleOrder(settlement), { code: ResultCode.OrderNotSettleable });
  const { settlementToken } = await daemon.showOrder(reference);
  assert.ok(settlementToken !== undefined);
  const { record } = await daemon.settleOrder({ ...settlement, settlementToken });
  assert.equal(record.state, OrderState.NotRun);
  assert.equal(record.audit.at(-1)?.by, 'operator:alice');
  await assert.rejects(daemon.settleOrder(settlement), { code: ResultCode.OrderNotSettleable });
});

test('a look-up that was sent too early does not settle an order as not run', async () => {
  const fixture = createFixture();
  const lookupStatus = () => {
    // The process is suspended until long after the look-up was answered.
    fixture.nowMs += 100_000;
    return Promise.resolve(fixture.lookup);
  };
  const callService = () =>
    Promise.resolve({ outcome: CallOutcome.Unknown as const, cause: 'cut' });
  const daemon = createDaemon(fixture, { serviceClient: { callService, lookupStatus } });
  const order = buildOrder(fixture, { deadlineAtMs: Infinity });
  await daemon.submitOrder(order);
  fixture.lookup = { outcome: LookupOutcome.Absent };
  expectError(await daemon.submitOrder(order), ResultCode.OrderUnknown, RunState.Unknown);
});

test('a daemon suspended past its call window does not call the service for the expired attempt', async () => {
  const fixture = createFixture();
  const daemon = createDaemon(fixture);
  fixture.answer = (call) => {
    if (fixture.calls.length === 1) fixture.nowMs += DEFAULT_ORDER_TIMINGS.callWindowMs;
    if (!call.canStart()) return { outcome: CallOutcome.NotStarted, cause: 'window' };
    const answer = { status: 200, headers: {}, body: Buffer.from(call.attemptId) };
    return { outcome: CallOutcome.Answered, answer };
  };
  const answer = getAnswer(await daemon.submitOrder(buildOrder(fixture)));
  assert.equal(fixture.calls.length, 2);
  assert.equal(answer, fixture.calls[1]?.attemptId);
  assert.notEqual(fixture.calls[0]?.attemptId, answer);
});

test('requests for expired answers and for answers too large to store are refused as run', async () => {
  const fixture = createFixture();
  const daemon = createDaemon(fixture);
  const order = buildOrder(fixture);
  await daemon.submitOrder(order);
  fixture.nowMs += SERVICE.orderRetentionMs + 1;
  const late = { ...order, deadlineAtMs: fixture.nowMs + 1_000 };
  expectError(await daemon.submitOrder(late), ResultCode.OrderExpired, RunState.Run);
  const body = Buffer.alloc(ANSWER_KEEP_LIMIT_BYTES + 1, 'a');
  fixture.answer = () => ({
    outcome: CallOutcome.Answered,
    answer: { status: 200, headers: {}, body },
  });
  const large = { ...late, key: 'key-2' };
  assert.equal(getAnswer(await daemon.submitOrder(large)).length, body.length);
  expectError(await daemon.submitOrder(large), ResultCode.AnswerNotKept, RunState.Run);
  assert.equal(fixture.calls.length, 2);
});

test('with a spent write budget new orders are refused as not run, and repeated ones are answered', async () => {
  const fixture = createFixture();
  const writeBudget = createWriteBudget({ clock: SYSTEM_CLOCK, writesPerSecond: 0.001, burst: 2 });
  const daemon = createDaemon(fixture, { writeBudget });
  const order = buildOrder(fixture);
  const first = getAnswer(await daemon.submitOrder(order));
  const refused = await daemon.submitOrder({ ...order, key: 'key-2' });
  expectError(refused, ResultCode.WriteBudgetSpent, RunState.NotRun);
  assert.equal(getAnswer(await daemon.submitOrder(order)), first);
  assert.equal(fixture.writes, 2);
});

/** Starts a daemon with one dispatched and one waiting order, to which the service never answers. */
const startStalledDaemon = async (fixture: Fixture) => {
  const never = new Promise<CallResult>(() => undefined);
  fixture.answer = () => never;
  const stalled = createDaemon(fixture, { vm: toBranded('vm-2') });
  for (const key of ['key-1', 'key-2']) {
    void stalled.submitOrder(buildOrder(fixture, { key, concurrency: 1, deadlineAtMs: Infinity }));
  }
  await sleep(20);
  return stalled;
};

test('a sweep takes over orders that a gone daemon had accepted', async () => {
  const fixture = createFixture();
  await startStalledDaemon(fixture);
  fixture.answer = createFixture().answer;
  const daemon = createDaemon(fixture, { isVmGone: (vm) => vm === 'vm-2' });
  const report = await daemon.sweepOrders(0, () => true);
  await daemon.drain();
  assert.deepEqual([report.seen, report.takenOver, report.unknown], [2, 1, 1]);
  const states = (await daemon.listOrders({})).orders.map(({ record }) => record.state);
  assert.deepEqual(states, [OrderState.Unknown, OrderState.Done]);
  assert.deepEqual(fixture.calls.map((call) => call.scopedKey).sort(), [
    'rig-desk/key-1',
    'rig-desk/key-2',
  ]);
});

test('a record is removed, and its key can be used again, only after two retention periods', async () => {
  const fixture = createFixture();
  const daemon = createDaemon(fixture);
  const order = buildOrder(fixture, { deadlineAtMs: Infinity });
  await daemon.submitOrder(order);
  fixture.nowMs += 2 * SERVICE.orderRetentionMs;
  assert.equal((await daemon.sweepOrders(0, () => true)).removed, 0);
  expectError(await daemon.submitOrder(order), ResultCode.OrderExpired, RunState.Run);
  fixture.nowMs += DEFAULT_ORDER_TIMINGS.clockMarginMs + 1;
  assert.equal((await daemon.sweepOrders(0, () => true)).removed, 1);
  getAnswer(await daemon.submitOrder(order));
  assert.equal(fixture.calls.length, 2);
});

test('a late answer settles an order that another daemon has marked as unknown', async () => {
  const fixture = createFixture();
  const answers: ((result: CallResult) => void)[] = [];
  fixture.answer = () => new Promise((resolve) => answers.push(resolve));
  const order = buildOrder(fixture, { deadlineAtMs: Infinity });
  const first = createDaemon(fixture).submitOrder(order);
  await sleep(20);
  const other = createDaemon(fixture, { vm: toBranded('vm-2'), isVmGone: () => true });
  expectError(await other.submitOrder(order), ResultCode.OrderUnknown, RunState.Unknown);
  const answer = { status: 201, headers: {}, body: Buffer.from('late') };
  answers[0]?.({ outcome: CallOutcome.Answered, answer });
  assert.equal(getAnswer(await first), 'late');
  assert.equal(getAnswer(await other.submitOrder(order)), 'late');
  assert.equal(fixture.calls.length, 1);
});

test('the open orders of a gone daemon are found through its list', async () => {
  const fixture = createFixture();
  const stalled = await startStalledDaemon(fixture);
  await stalled.publishOpenOrders();
  const writesBefore = fixture.writes;
  fixture.nowMs += 2_000;
  await stalled.publishOpenOrders();
  await stalled.publishOpenOrders();
  assert.equal(fixture.writes, writesBefore + 1);
  fixture.answer = createFixture().answer;
  const daemon = createDaemon(fixture, { isVmGone: (vm) => vm === 'vm-2' });
  const report = await daemon.sweepGoneDaemons();
  await daemon.drain();
  assert.deepEqual([report.seen, report.takenOver, report.unknown], [2, 1, 1]);
  assert.equal((await daemon.sweepGoneDaemons()).seen, 0);
});
