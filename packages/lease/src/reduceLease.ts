import { buildTransitionTable } from '@sardinegrade/common';

import { LeaseActionKind, LeaseEventKind, LeasePhase, LeaseTransition } from './enums.js';
import { getVersionEra } from './eraVersion.js';
import { LEASE_CHART } from './leaseChart.js';

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

const findNextPhase = buildTransitionTable(LEASE_CHART, LeasePhase, LeaseTransition);

const HELD_PHASES: ReadonlySet<LeasePhase> = new Set([LeasePhase.Settling, LeasePhase.Holding]);
const RELEASING_PHASES: ReadonlySet<LeasePhase> = new Set([
  LeasePhase.Pausing,
  LeasePhase.Releasing,
]);
const JITTER_SHARE = 0.5;

/**
 * Creates the initial state of a daemon on standby.
 *
 * @param holder - name of the daemon
 * @param session - id that is unique across all daemons and their restarts
 * @param timings - timings of the lease
 * @param context - current time and random source
 * @returns the initial state
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
  settlingEndsAtMs: Infinity,
  observed: undefined,
  isCallPending: false,
  nextCallAtMs: context.nowMs + context.random() * timings.renewIntervalMs,
  claimWaitMs: 0,
  claimableFromMs: -Infinity,
  isReleaseSent: false,
});

/**
 * Returns whether an engine order may be sent now: its deadline, plus the margin, must end before the lease
 * expires.
 *
 * @param state - current lease state
 * @param nowMs - current time in milliseconds, read right before the order is sent
 * @returns whether the daemon holds the lease for long enough
 */
export const canSendOrder = (state: LeaseState, nowMs: number): boolean => {
  const { orderDeadlineMs, marginMs } = state.timings;
  const remainingMs = state.validUntilMs - nowMs;
  return state.phase === LeasePhase.Holding && remainingMs >= orderDeadlineMs + marginMs;
};

const keepState = (state: LeaseState): LeaseStep => ({ state, actions: [] });

const applyTransition = (state: LeaseState, transition: LeaseTransition): LeaseState => {
  const phase = findNextPhase(state.phase, transition);
  return phase === undefined ? state : { ...state, phase };
};

const addJitter = (periodMs: number, context: LeaseContext): number =>
  periodMs * (1 + JITTER_SHARE * (context.random() - 0.5));

const clearHolding = (state: LeaseState, context: LeaseContext): LeaseState => ({
  ...state,
  fencing: 0,
  validUntilMs: -Infinity,
  settlingEndsAtMs: Infinity,
  observed: undefined,
  nextCallAtMs: context.nowMs + addJitter(state.timings.standbyIntervalMs, context),
});

/** Applies the loss of the lease. The next holder, even if it is this daemon, must wait until the lease expires. */
const loseLease = (state: LeaseState, context: LeaseContext): LeaseState =>
  clearHolding(applyTransition(state, LeaseTransition.Lose), context);

const write = (state: LeaseState, isReleased: boolean, context: LeaseContext): LeaseStep => {
  const { holder, session, version } = state;
  return {
    state: { ...state, isCallPending: true, isReleaseSent: isReleased },
    actions: [
      {
        kind: LeaseActionKind.Write,
        ifVersion: version,
        value: { holder, session, isReleased, era: getVersionEra(version) },
        sentAtMs: context.nowMs,
      },
    ],
  };
};

const callWhenDue = (state: LeaseState, context: LeaseContext): LeaseStep => {
  if (state.isCallPending || context.nowMs < state.nextCallAtMs) return keepState(state);
  if (HELD_PHASES.has(state.phase)) return write(state, false, context);
  if (RELEASING_PHASES.has(state.phase)) return write(state, true, context);
  if (state.phase !== LeasePhase.Standby || context.nowMs < state.claimableFromMs) {
    return keepState(state);
  }
  return { state: { ...state, isCallPending: true }, actions: [{ kind: LeaseActionKind.Read }] };
};

const handleTick = (state: LeaseState, context: LeaseContext): LeaseStep => {
  const hasExpired = HELD_PHASES.has(state.phase) && context.nowMs >= state.validUntilMs;
  if (hasExpired) return callWhenDue(loseLease(state, context), context);
  const isSettled = context.nowMs >= state.settlingEndsAtMs;
  return callWhenDue(isSettled ? applyTransition(state, LeaseTransition.Settle) : state, context);
};

/** Computes how long engine orders of a previous holder may still be in flight after this daemon acquires the lease. */
const computeClaimWait = (timings: LeaseTimings, object: LeaseObject | undefined): number => {
  const orderMs = timings.orderDeadlineMs + timings.marginMs;
  // If the object is missing or its release is of another era, a previous holder's lease may not have expired yet.
  const unknownHolderMs = timings.durationMs + orderMs;
  if (object === undefined) return unknownHolderMs;
  const { value, version } = object;
  if (!value.isReleased) return orderMs;
  return value.era === getVersionEra(version) ? (timings.releasedWaitMs ?? 0) : unknownHolderMs;
};

const claim = (
  state: LeaseState,
  object: LeaseObject | undefined,
  context: LeaseContext,
): LeaseStep => {
  const claiming = {
    ...applyTransition(state, LeaseTransition.Claim),
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
  const idle = { ...state, isCallPending: false };
  if (state.phase !== LeasePhase.Standby) return keepState(idle);
  const { object } = event;
  if (object === undefined || object.value.isReleased) return claim(idle, object, context);
  const nextCallAtMs = context.nowMs + addJitter(state.timings.standbyIntervalMs, context);
  if (state.observed?.version !== object.version) {
    const observed = { version: object.version, firstSeenAtMs: context.nowMs };
    return keepState({ ...idle, observed, nextCallAtMs });
  }
  const isExpired = context.nowMs - state.observed.firstSeenAtMs >= state.timings.durationMs;
  return isExpired ? claim(idle, object, context) : keepState({ ...idle, nextCallAtMs });
};

const handleWritten = (
  state: LeaseState,
  event: EventOf<LeaseEventKind.Written>,
  context: LeaseContext,
): LeaseStep => {
  const { timings } = state;
  const idle = { ...state, isCallPending: false, version: event.version };
  // After a restore the write may have replaced a version of another holder that has the same revision.
  const isOtherEra =
    state.version !== 0 && getVersionEra(event.version) !== getVersionEra(state.version);
  if (isOtherEra && state.phase !== LeasePhase.Standby) return keepState(loseLease(idle, context));
  if (RELEASING_PHASES.has(state.phase)) {
    if (state.isReleaseSent) {
      return keepState(clearHolding(applyTransition(idle, LeaseTransition.Release), context));
    }
    // A renewal was pending when the release was requested; it is written now.
    return callWhenDue({ ...idle, nextCallAtMs: context.nowMs }, context);
  }
  const held = {
    ...idle,
    validUntilMs: event.sentAtMs + timings.durationMs,
    nextCallAtMs: event.sentAtMs + timings.renewIntervalMs,
  };
  if (HELD_PHASES.has(state.phase)) return keepState(held);
  if (state.phase !== LeasePhase.Acquiring) return keepState(idle);
  return keepState({
    ...applyTransition(held, LeaseTransition.Acquire),
    fencing: event.version,
    settlingEndsAtMs: context.nowMs + state.claimWaitMs,
  });
};

const handleWriteConflict = (
  state: LeaseState,
  event: EventOf<LeaseEventKind.WriteConflict>,
  context: LeaseContext,
): LeaseStep => {
  const idle = { ...state, isCallPending: false };
  const { current } = event;
  const isOwn =
    current?.value.session === state.session &&
    getVersionEra(current.version) === getVersionEra(state.version);
  const hasWritten = HELD_PHASES.has(state.phase) || RELEASING_PHASES.has(state.phase);
  if (isOwn && hasWritten) {
    // An earlier renewal took effect but its answer was lost: continue from the version that it wrote.
    return keepState({ ...idle, version: current.version, nextCallAtMs: context.nowMs });
  }
  return keepState(loseLease(idle, context));
};

const handleCallFailed = (state: LeaseState, context: LeaseContext): LeaseStep => {
  const idle = { ...state, isCallPending: false };
  const nextCallAtMs = context.nowMs + addJitter(state.timings.renewIntervalMs / 3, context);
  if (HELD_PHASES.has(state.phase)) return keepState({ ...idle, nextCallAtMs });
  if (state.phase === LeasePhase.Standby) {
    const waitMs = addJitter(state.timings.standbyIntervalMs, context);
    return keepState({ ...idle, nextCallAtMs: context.nowMs + waitMs });
  }
  return keepState(loseLease(idle, context));
};

const handleStop = (state: LeaseState, context: LeaseContext): LeaseStep =>
  callWhenDue(
    { ...applyTransition(state, LeaseTransition.Stop), fencing: 0, nextCallAtMs: context.nowMs },
    context,
  );

const handleRenew = (state: LeaseState, context: LeaseContext): LeaseStep =>
  HELD_PHASES.has(state.phase)
    ? callWhenDue({ ...state, nextCallAtMs: context.nowMs }, context)
    : keepState(state);

const handlePause = (
  state: LeaseState,
  { untilMs }: EventOf<LeaseEventKind.Pause>,
  context: LeaseContext,
): LeaseStep => {
  const paused = { ...state, claimableFromMs: untilMs };
  if (!HELD_PHASES.has(state.phase)) return keepState(paused);
  return callWhenDue(
    { ...applyTransition(paused, LeaseTransition.Pause), fencing: 0, nextCallAtMs: context.nowMs },
    context,
  );
};

const HANDLERS: LeaseHandlers = {
  [LeaseEventKind.Tick]: (state, _event, context) => handleTick(state, context),
  [LeaseEventKind.Read]: handleRead,
  [LeaseEventKind.Written]: handleWritten,
  [LeaseEventKind.WriteConflict]: handleWriteConflict,
  [LeaseEventKind.CallFailed]: (state, _event, context) => handleCallFailed(state, context),
  [LeaseEventKind.Fenced]: (state, _event, context) =>
    HELD_PHASES.has(state.phase) ? keepState(loseLease(state, context)) : keepState(state),
  [LeaseEventKind.Renew]: (state, _event, context) => handleRenew(state, context),
  [LeaseEventKind.Pause]: handlePause,
  [LeaseEventKind.Stop]: (state, _event, context) => handleStop(state, context),
};

/**
 * Reducer of the lease state machine. Pure except for the random source in the context.
 *
 * @param state - current lease state
 * @param event - event to handle
 * @param context - current time and random source
 * @returns the next state and the actions to perform
 */
export const reduceLease = <Kind extends LeaseEventKind>(
  state: LeaseState,
  event: EventOf<Kind>,
  context: LeaseContext,
): LeaseStep => HANDLERS[event.kind](state, event, context);
