import assert from 'node:assert/strict';
import { test } from 'node:test';

import fc from 'fast-check';

import { LEASE_TIMINGS } from './constants.js';
import { LeaseActionKind, LeaseEventKind, LeasePhase } from './enums.js';
import { canOrder, createLease, reduceLease } from './reduceLease.js';

import type { LeaseAction, LeaseEvent, LeaseObject, LeaseState } from './types.js';

const SEED = 20261204;
const ORDER_MS = LEASE_TIMINGS.orderDeadlineMs;
/** Clocks of different machines run at rates that differ by up to this share. */
const CLOCK_DRIFT = 0.02;

/** What becomes of one call to the platform. */
enum Fate {
  Answered = 'answered',
  /** It takes effect, but the answer is lost. */
  AnswerLost = 'answer_lost',
  Lost = 'lost',
  /** It takes effect and is answered late. */
  Late = 'late',
}

interface Contender {
  state: LeaseState;
  /** Time on its own clock. */
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
    return { kind: LeaseEventKind.Refused, current: platform.object };
  }
  platform.version += 1;
  platform.object = { version: platform.version, value: action.value };
  return {
    kind: LeaseEventKind.Written,
    version: platform.version,
    sentAtMs: action.sentAtMs,
  };
};

const createFates = (fates: readonly Fate[]) => {
  let next = 0;
  return (): Fate => {
    next += 1;
    return fates[next % fates.length] ?? Fate.Answered;
  };
};

const applyEvent = (
  contender: Contender,
  event: LeaseEvent,
  platform: PlatformLease,
  nowMs: number,
  takeFate: () => Fate,
): void => {
  const context = { nowMs: contender.clockMs, random: () => 0.5 };
  const step = reduceLease(contender.state, event, context);
  contender.state = step.state;
  for (const action of step.actions) {
    const fate = takeFate();
    const failed: LeaseEvent = { kind: LeaseEventKind.CallFailed };
    const result = fate === Fate.Lost ? failed : performAction(platform, action);
    const answer = fate === Fate.AnswerLost ? failed : result;
    contender.pending.push({ atMs: nowMs + (fate === Fate.Late ? 4_000 : 5), event: answer });
  }
};

const STEP_MS = 250;

const advance = (
  contender: Contender,
  platform: PlatformLease,
  nowMs: number,
  takeFate: () => Fate,
): void => {
  contender.clockMs += STEP_MS * contender.rate;
  if (nowMs < contender.pausedUntilMs) return;
  const due = contender.pending.filter((entry) => entry.atMs <= nowMs);
  contender.pending.splice(
    0,
    contender.pending.length,
    ...contender.pending.filter((entry) => entry.atMs > nowMs),
  );
  for (const { event } of due) applyEvent(contender, event, platform, nowMs, takeFate);
  applyEvent(contender, { kind: LeaseEventKind.Tick }, platform, nowMs, takeFate);
};

const FATE = fc.oneof(
  { weight: 8, arbitrary: fc.constant(Fate.Answered) },
  { weight: 1, arbitrary: fc.constantFrom(Fate.AnswerLost, Fate.Lost, Fate.Late) },
);
const PAUSE = fc.record({
  contender: fc.nat(2),
  atMs: fc.nat(120_000),
  forMs: fc.integer({ min: 100, max: 40_000 }),
});

test('no two holders have orders under way at once, whatever is lost, late or paused', () => {
  let orderCount = 0;
  const property = fc.property(
    fc.array(FATE, { minLength: 5, maxLength: 60 }),
    fc.array(PAUSE, { maxLength: 6 }),
    fc.array(fc.double({ min: 1 - CLOCK_DRIFT, max: 1 + CLOCK_DRIFT, noNaN: true }), {
      minLength: 3,
      maxLength: 3,
    }),
    (fates, pauses, rates) => {
      const takeFate = createFates(fates);
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
          advance(contender, platform, nowMs, takeFate);
          if (nowMs < contender.pausedUntilMs) continue;
          if (!canOrder(contender.state, contender.clockMs)) continue;
          const { holder, fencing } = contender.state;
          assert.ok(
            orders.every((order) => order.holder === holder),
            `${holder} at ${nowMs}`,
          );
          assert.ok(fencing >= highestFencing, 'fencing numbers never go back');
          highestFencing = fencing;
          orders.push({ fencing, holder, endsAtMs: nowMs + ORDER_MS });
          orderCount += 1;
        }
      }
    },
  );
  fc.assert(property, { seed: SEED, numRuns: 150 });
  assert.ok(orderCount > 10_000, `only ${orderCount} orders were given`);
});

const runUntilHolding = (contender: Contender, platform: PlatformLease, fromMs = 0): number => {
  for (let nowMs = fromMs; nowMs < fromMs + 120_000; nowMs += STEP_MS) {
    advance(contender, platform, nowMs, () => Fate.Answered);
    if (contender.state.phase === LeasePhase.Holding) return nowMs;
  }
  return assert.fail('the lease was not taken');
};

test('a lease that was given up is taken without a wait, one that lapsed only after it', () => {
  const { durationMs, orderDeadlineMs, marginMs } = LEASE_TIMINGS;
  for (const isReleased of [true, false]) {
    const value = { holder: 'old', session: 'old', isReleased };
    const platform: PlatformLease = { object: { version: 7, value }, version: 7 };
    const tookMs = runUntilHolding(createContender('new', 1), platform);
    const leastMs = isReleased ? 0 : durationMs + orderDeadlineMs + marginMs;
    assert.ok(tookMs >= leastMs);
    if (isReleased) assert.ok(tookMs < durationMs);
  }
});

test('a holder that was paused past its lease gives no order when it wakes', () => {
  const contender = createContender('a', 1);
  const platform: PlatformLease = { object: undefined, version: 0 };
  runUntilHolding(contender, platform);
  assert.equal(canOrder(contender.state, contender.clockMs), true);
  // No event has reached the machine yet: the check right before the order alone has to notice.
  assert.equal(canOrder(contender.state, contender.clockMs + LEASE_TIMINGS.durationMs), false);
});

test('a holder whose renewal took effect unseen goes on; one that was outranked stops', () => {
  const contender = createContender('a', 1);
  const platform: PlatformLease = { object: undefined, version: 0 };
  const heldAtMs = runUntilHolding(contender, platform);
  let calls = 0;
  for (let nowMs = heldAtMs + STEP_MS; nowMs < heldAtMs + 60_000; nowMs += STEP_MS) {
    advance(contender, platform, nowMs, () => {
      calls += 1;
      return calls % 3 === 1 ? Fate.AnswerLost : Fate.Answered;
    });
    assert.equal(contender.state.phase, LeasePhase.Holding, String(nowMs));
  }
  const outranked = reduceLease(
    contender.state,
    { kind: LeaseEventKind.Outranked },
    {
      nowMs: contender.clockMs,
      random: () => 0.5,
    },
  );
  assert.equal(outranked.state.phase, LeasePhase.Standby);
});

test('a stop gives the lease up, also while a renewal is under way', () => {
  for (const isRenewing of [false, true]) {
    const contender = createContender('a', 1);
    const platform: PlatformLease = { object: undefined, version: 0 };
    let nowMs = runUntilHolding(contender, platform);
    while (contender.state.isCalling !== isRenewing) {
      nowMs += STEP_MS;
      advance(contender, platform, nowMs, () => Fate.Late);
    }
    applyEvent(contender, { kind: LeaseEventKind.Stop }, platform, nowMs, () => Fate.Answered);
    for (let step = 0; step < 40; step += 1) {
      nowMs += STEP_MS;
      advance(contender, platform, nowMs, () => Fate.Answered);
    }
    assert.equal(contender.state.phase, LeasePhase.Stopped);
    assert.equal(platform.object?.value.isReleased, true);
  }
});
