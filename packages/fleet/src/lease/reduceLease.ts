import { createRequire } from 'node:module';

import { buildChartTable } from '@sardinegrade/common';

import { LeaseActionKind, LeaseEventKind, LeasePhase, LeaseTransition } from './enums.js';

import type { Chart } from '@sardinegrade/common';
import type {
  LeaseContext,
  LeaseEvent,
  LeaseObject,
  LeaseState,
  LeaseStep,
  LeaseTimings,
} from './types.js';

type EventOf<Kind extends LeaseEventKind> = Extract<LeaseEvent, { kind: Kind }>;

type LeaseHandlers = {
  readonly [Kind in LeaseEventKind]: (
    state: LeaseState,
    event: EventOf<Kind>,
    context: LeaseContext,
  ) => LeaseStep;
};

const findNextPhase = buildChartTable(
  createRequire(import.meta.url)('./lease.json') as Chart,
  LeasePhase,
  LeaseTransition,
);

const HELD: ReadonlySet<LeasePhase> = new Set([LeasePhase.Settling, LeasePhase.Holding]);
const JITTER_SHARE = 0.5;

/**
 * Makes the state of a daemon that does not hold the lease.
 *
 * @param holder - the daemon's name
 * @param session - an id that no other run of any daemon has
 * @param timings - the lease's periods
 * @param context - time and random source
 * @returns the state
 */
export const createLease = (
  holder: string,
  session: string,
  timings: LeaseTimings,
  context: LeaseContext,
): LeaseState => ({
  phase: LeasePhase.Standby,
  holder,
  session,
  timings,
  version: 0,
  fencing: 0,
  validUntilMs: -Infinity,
  settledAtMs: Infinity,
  sighting: undefined,
  isCalling: false,
  nextCallAtMs: context.nowMs + context.random() * timings.renewIntervalMs,
  claimWaitMs: 0,
  isReleaseSent: false,
});

/**
 * Tells whether an order may be sent now: it has to be over before the lease is.
 *
 * @param state - where the daemon stands
 * @param nowMs - the present, read right before the order is sent
 * @returns whether enough of the lease remains
 */
export const canOrder = (state: LeaseState, nowMs: number): boolean => {
  const { orderDeadlineMs, marginMs } = state.timings;
  const remainingMs = state.validUntilMs - nowMs;
  return state.phase === LeasePhase.Holding && remainingMs >= orderDeadlineMs + marginMs;
};

const keepState = (state: LeaseState): LeaseStep => ({ state, actions: [] });

const movePhase = (state: LeaseState, transition: LeaseTransition): LeaseState => {
  const phase = findNextPhase(state.phase, transition);
  return phase === undefined ? state : { ...state, phase };
};

const addJitter = (periodMs: number, context: LeaseContext): number =>
  periodMs * (1 + JITTER_SHARE * (context.random() - 0.5));

/** Goes back to standby; whoever writes next, this daemon included, has to wait the lease out. */
const loseLease = (state: LeaseState, context: LeaseContext): LeaseState => ({
  ...movePhase(state, LeaseTransition.Lose),
  fencing: 0,
  validUntilMs: -Infinity,
  settledAtMs: Infinity,
  sighting: undefined,
  nextCallAtMs: context.nowMs + addJitter(state.timings.standbyIntervalMs, context),
});

const write = (state: LeaseState, isReleased: boolean, context: LeaseContext): LeaseStep => {
  const { holder, session, version } = state;
  return {
    state: { ...state, isCalling: true, isReleaseSent: isReleased },
    actions: [
      {
        kind: LeaseActionKind.Write,
        ifVersion: version,
        value: { holder, session, isReleased },
        sentAtMs: context.nowMs,
      },
    ],
  };
};

const callWhenDue = (state: LeaseState, context: LeaseContext): LeaseStep => {
  if (state.isCalling || context.nowMs < state.nextCallAtMs) return keepState(state);
  if (HELD.has(state.phase)) return write(state, false, context);
  if (state.phase === LeasePhase.Releasing) return write(state, true, context);
  if (state.phase !== LeasePhase.Standby) return keepState(state);
  return { state: { ...state, isCalling: true }, actions: [{ kind: LeaseActionKind.Read }] };
};

const handleTick = (state: LeaseState, context: LeaseContext): LeaseStep => {
  const isLapsed = HELD.has(state.phase) && context.nowMs >= state.validUntilMs;
  if (isLapsed) return callWhenDue(loseLease(state, context), context);
  const isSettled = context.nowMs >= state.settledAtMs;
  return callWhenDue(isSettled ? movePhase(state, LeaseTransition.Settle) : state, context);
};

/** How long orders of a former holder may still be on their way once this daemon has the lease. */
const computeClaimWait = (timings: LeaseTimings, object: LeaseObject | undefined): number => {
  const orderMs = timings.orderDeadlineMs + timings.marginMs;
  // Where the object is gone nobody knows whether there is a holder.
  if (object === undefined) return timings.durationMs + orderMs;
  return object.value.isReleased ? 0 : orderMs;
};

const claim = (
  state: LeaseState,
  object: LeaseObject | undefined,
  context: LeaseContext,
): LeaseStep => {
  const claiming = {
    ...movePhase(state, LeaseTransition.Claim),
    version: object?.version ?? 0,
    claimWaitMs: computeClaimWait(state.timings, object),
  };
  return write(claiming, false, context);
};

const handleRead = (
  state: LeaseState,
  event: EventOf<LeaseEventKind.Read>,
  context: LeaseContext,
): LeaseStep => {
  const idle = { ...state, isCalling: false };
  if (state.phase !== LeasePhase.Standby) return keepState(idle);
  const { object } = event;
  if (object === undefined || object.value.isReleased) return claim(idle, object, context);
  const nextCallAtMs = context.nowMs + addJitter(state.timings.standbyIntervalMs, context);
  if (state.sighting?.version !== object.version) {
    const sighting = { version: object.version, atMs: context.nowMs };
    return keepState({ ...idle, sighting, nextCallAtMs });
  }
  const isExpired = context.nowMs - state.sighting.atMs >= state.timings.durationMs;
  return isExpired ? claim(idle, object, context) : keepState({ ...idle, nextCallAtMs });
};

const handleWritten = (
  state: LeaseState,
  event: EventOf<LeaseEventKind.Written>,
  context: LeaseContext,
): LeaseStep => {
  const { timings } = state;
  const idle = { ...state, isCalling: false, version: event.version };
  if (state.phase === LeasePhase.Releasing) {
    if (state.isReleaseSent) return keepState(movePhase(idle, LeaseTransition.Release));
    // A renewal was under way when the stop came.
    return callWhenDue({ ...idle, nextCallAtMs: context.nowMs }, context);
  }
  const held = {
    ...idle,
    validUntilMs: event.sentAtMs + timings.durationMs,
    nextCallAtMs: event.sentAtMs + timings.renewIntervalMs,
  };
  if (HELD.has(state.phase)) return keepState(held);
  if (state.phase !== LeasePhase.Acquiring) return keepState(idle);
  return keepState({
    ...movePhase(held, LeaseTransition.Acquire),
    fencing: event.version,
    settledAtMs: context.nowMs + state.claimWaitMs,
  });
};

const handleRefused = (
  state: LeaseState,
  event: EventOf<LeaseEventKind.Refused>,
  context: LeaseContext,
): LeaseStep => {
  const idle = { ...state, isCalling: false };
  const isOwn = event.current?.value.session === state.session;
  const hasWritten = HELD.has(state.phase) || state.phase === LeasePhase.Releasing;
  if (isOwn && hasWritten) {
    // An earlier renewal took effect although its answer was lost: write on top of it.
    return keepState({ ...idle, version: event.current.version, nextCallAtMs: context.nowMs });
  }
  return keepState(loseLease(idle, context));
};

const handleCallFailed = (state: LeaseState, context: LeaseContext): LeaseStep => {
  const idle = { ...state, isCalling: false };
  const nextCallAtMs = context.nowMs + addJitter(state.timings.renewIntervalMs / 3, context);
  if (HELD.has(state.phase)) return keepState({ ...idle, nextCallAtMs });
  if (state.phase === LeasePhase.Standby) {
    const waitMs = addJitter(state.timings.standbyIntervalMs, context);
    return keepState({ ...idle, nextCallAtMs: context.nowMs + waitMs });
  }
  return keepState(loseLease(idle, context));
};

const handleStop = (state: LeaseState, context: LeaseContext): LeaseStep =>
  callWhenDue(
    { ...movePhase(state, LeaseTransition.Stop), fencing: 0, nextCallAtMs: context.nowMs },
    context,
  );

const HANDLERS: LeaseHandlers = {
  [LeaseEventKind.Tick]: (state, _event, context) => handleTick(state, context),
  [LeaseEventKind.Read]: handleRead,
  [LeaseEventKind.Written]: handleWritten,
  [LeaseEventKind.Refused]: handleRefused,
  [LeaseEventKind.CallFailed]: (state, _event, context) => handleCallFailed(state, context),
  [LeaseEventKind.Outranked]: (state, _event, context) =>
    HELD.has(state.phase) ? keepState(loseLease(state, context)) : keepState(state),
  [LeaseEventKind.Stop]: (state, _event, context) => handleStop(state, context),
};

/**
 * The lease machine: who may give orders. Pure but for the random source passed in.
 *
 * @param state - where the daemon stands
 * @param event - what happened
 * @param context - time and random source
 * @returns the next state and what is to be done
 */
export const reduceLease = <Kind extends LeaseEventKind>(
  state: LeaseState,
  event: EventOf<Kind>,
  context: LeaseContext,
): LeaseStep => HANDLERS[event.kind](state, event, context);
