import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { LEASE_TIMINGS } from './constants.js';
import { LeaseActionKind, LeaseEventKind, LeasePhase } from './enums.js';
import { canSendOrder, createLease, reduceLease } from './reduceLease.js';

import type { LeaseAction, LeaseEvent, LeaseObject, LeaseState } from './types.js';

const SEED = 20261204;
const ORDER_MS = LEASE_TIMINGS.orderDeadlineMs;
/** Maximum deviation of a machine's clock rate from real time, as a fraction. */
const CLOCK_DRIFT = 0.02;

/** Outcome of a call to the platform. */
enum CallOutcome {
  Answered = 'answered',
  /** The call takes effect, but its answer is lost. */
  AnswerLost = 'answer_lost',
  RequestLost = 'lost',
  /** The call takes effect, but its answer is delayed. */
  AnswerLate = 'late',
}

interface Contender {
  state: LeaseState;
  /** Time of the contender's own clock, in milliseconds. */
  clockMs: number;
  readonly rate: number;
  pausedUntilMs: number;
  readonly pending: { readonly atMs: number; readonly event: LeaseEvent }[];
}

interface PlatformLease {
  object: LeaseObject | undefined;
  version: number;
}

interface Order {
  readonly fencing: number;
  readonly holder: string;
  readonly endsAtMs: number;
}

const createContender = (name: string, rate: number): Contender => ({
  state: createLease(name, `session-${name}`, LEASE_TIMINGS, { nowMs: 0, random: () => 0.5 }),
  clockMs: 0,
  rate,
  pausedUntilMs: 0,
  pending: [],
});

const performAction = (platform: PlatformLease, action: LeaseAction): LeaseEvent => {
  if (action.kind === LeaseActionKind.Read) {
    return { kind: LeaseEventKind.Read, object: platform.object };
  }
  if ((platform.object?.version ?? 0) !== action.ifVersion) {
    return { kind: LeaseEventKind.WriteConflict, current: platform.object };
  }
  platform.version += 1;
  platform.object = { version: platform.version, value: action.value };
  return {
    kind: LeaseEventKind.Written,
    version: platform.version,
    sentAtMs: action.sentAtMs,
  };
};

const createOutcomePicker = (outcomes: readonly CallOutcome[]) => {
  let next = 0;
  return (): CallOutcome => {
    next += 1;
    return outcomes[next % outcomes.length] ?? CallOutcome.Answered;
  };
};

const applyEvent = (
  contender: Contender,
  event: LeaseEvent,
  platform: PlatformLease,
  nowMs: number,
  pickOutcome: () => CallOutcome,
): void => {
  const context = { nowMs: contender.clockMs, random: () => 0.5 };
  const step = reduceLease(contender.state, event, context);
  contender.state = step.state;
  for (const action of step.actions) {
    const outcome = pickOutcome();
    const failed: LeaseEvent = { kind: LeaseEventKind.CallFailed };
    const result = outcome === CallOutcome.RequestLost ? failed : performAction(platform, action);
    const answer = outcome === CallOutcome.AnswerLost ? failed : result;
    contender.pending.push({
      atMs: nowMs + (outcome === CallOutcome.AnswerLate ? 4_000 : 5),
      event: answer,
    });
  }
};

const STEP_MS = 250;

const advance = (
  contender: Contender,
  platform: PlatformLease,
  nowMs: number,
  pickOutcome: () => CallOutcome,
): void => {
  contender.clockMs += STEP_MS * contender.rate;
  if (nowMs < contender.pausedUntilMs) return;
  const due = contender.pending.filter((entry) => entry.atMs <= nowMs);
  contender.pending.splice(
    0,
    contender.pending.length,
    ...contender.pending.filter((entry) => entry.atMs > nowMs),
  );
  for (const { event } of due) applyEvent(contender, event, platform, nowMs, pickOutcome);
  applyEvent(contender, { kind: LeaseEventKind.Tick }, platform, nowMs, pickOutcome);
};

const CALL_OUTCOME = fc.oneof(
  { weight: 8, arbitrary: fc.constant(CallOutcome.Answered) },
  {
    weight: 1,
    arbitrary: fc.constantFrom(
      CallOutcome.AnswerLost,
      CallOutcome.RequestLost,
      CallOutcome.AnswerLate,
    ),
  },
);
const PAUSE = fc.record({
  contender: fc.nat(2),
  atMs: fc.nat(120_000),
  forMs: fc.integer({ min: 100, max: 40_000 }),
});

test('orders of two holders never overlap, despite lost calls, late answers and suspended processes', () => {
  let orderCount = 0;
  const property = fc.property(
    fc.array(CALL_OUTCOME, { minLength: 5, maxLength: 60 }),
    fc.array(PAUSE, { maxLength: 6 }),
    fc.array(fc.double({ min: 1 - CLOCK_DRIFT, max: 1 + CLOCK_DRIFT, noNaN: true }), {
      minLength: 3,
      maxLength: 3,
    }),
    (outcomes, pauses, rates) => {
      const pickOutcome = createOutcomePicker(outcomes);
      const platform: PlatformLease = { object: undefined, version: 0 };
      const contenders = rates.map((rate, index) => createContender(`c${index}`, rate));
      let orders: Order[] = [];
      let highestFencing = 0;
      for (let nowMs = 0; nowMs < 150_000; nowMs += STEP_MS) {
        for (const pause of pauses) {
          const contender = contenders[pause.contender];
          if (contender === undefined || Math.abs(pause.atMs - nowMs) >= STEP_MS / 2) continue;
          contender.pausedUntilMs = nowMs + pause.forMs;
        }
        orders = orders.filter((order) => order.endsAtMs > nowMs);
        for (const contender of contenders) {
          advance(contender, platform, nowMs, pickOutcome);
          if (nowMs < contender.pausedUntilMs) continue;
          if (!canSendOrder(contender.state, contender.clockMs)) continue;
          const { holder, fencing } = contender.state;
          assert.ok(
            orders.every((order) => order.holder === holder),
            `${holder} at ${nowMs}`,
          );
          assert.ok(fencing >= highestFencing, 'the fencing number decreased');
          highestFencing = fencing;
          orders.push({ fencing, holder, endsAtMs: nowMs + ORDER_MS });
          orderCount += 1;
        }
      }
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 150 });
  assert.ok(orderCount > 10_000, `only ${orderCount} orders were sent`);
});

const runUntilHolding = (contender: Contender, platform: PlatformLease, fromMs = 0): number => {
  for (let nowMs = fromMs; nowMs < fromMs + 120_000; nowMs += STEP_MS) {
    advance(contender, platform, nowMs, () => CallOutcome.Answered);
    if (contender.state.phase === LeasePhase.Holding) return nowMs;
  }
  return assert.fail('the lease was not acquired');
};

test('a released lease is acquired without a wait, an expired one only after its duration and the claim wait', () => {
  const { durationMs, orderDeadlineMs, marginMs } = LEASE_TIMINGS;
  for (const isReleased of [true, false]) {
    const value = { holder: 'old', session: 'old', isReleased, era: 0 };
    const platform: PlatformLease = { object: { version: 7, value }, version: 7 };
    const acquiredAtMs = runUntilHolding(createContender('new', 1), platform);
    const minimumMs = isReleased ? 0 : durationMs + orderDeadlineMs + marginMs;
    assert.ok(acquiredAtMs >= minimumMs);
    if (isReleased) assert.ok(acquiredAtMs < durationMs);
  }
});

test('a holder that was suspended beyond the end of its lease sends no order when it resumes', () => {
  const contender = createContender('a', 1);
  const platform: PlatformLease = { object: undefined, version: 0 };
  runUntilHolding(contender, platform);
  assert.equal(canSendOrder(contender.state, contender.clockMs), true);
  // The state machine has received no event yet, so the check right before the order must detect the expiry.
  assert.equal(canSendOrder(contender.state, contender.clockMs + LEASE_TIMINGS.durationMs), false);
});

test('a holder keeps the lease if the answer to a renewal is lost, and loses it when it is fenced', () => {
  const contender = createContender('a', 1);
  const platform: PlatformLease = { object: undefined, version: 0 };
  const heldAtMs = runUntilHolding(contender, platform);
  let calls = 0;
  for (let nowMs = heldAtMs + STEP_MS; nowMs < heldAtMs + 60_000; nowMs += STEP_MS) {
    advance(contender, platform, nowMs, () => {
      calls += 1;
      return calls % 3 === 1 ? CallOutcome.AnswerLost : CallOutcome.Answered;
    });
    assert.equal(contender.state.phase, LeasePhase.Holding, String(nowMs));
  }
  const fenced = reduceLease(
    contender.state,
    { kind: LeaseEventKind.Fenced },
    {
      nowMs: contender.clockMs,
      random: () => 0.5,
    },
  );
  assert.equal(fenced.state.phase, LeasePhase.Standby);
});

test('a stop releases the lease, even while a renewal is pending', () => {
  for (const isRenewing of [false, true]) {
    const contender = createContender('a', 1);
    const platform: PlatformLease = { object: undefined, version: 0 };
    let nowMs = runUntilHolding(contender, platform);
    while (contender.state.isCallPending !== isRenewing) {
      nowMs += STEP_MS;
      advance(contender, platform, nowMs, () => CallOutcome.AnswerLate);
    }
    applyEvent(
      contender,
      { kind: LeaseEventKind.Stop },
      platform,
      nowMs,
      () => CallOutcome.Answered,
    );
    for (let step = 0; step < 40; step += 1) {
      nowMs += STEP_MS;
      advance(contender, platform, nowMs, () => CallOutcome.Answered);
    }
    assert.equal(contender.state.phase, LeasePhase.Stopped);
    assert.equal(platform.object?.value.isReleased, true);
  }
});
