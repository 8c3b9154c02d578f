import { ResultCode } from '@sardinegrade/common';
import { computeLongestWaitMs, shouldRefuse } from '@sardinegrade/routing';

import { DRAINING_RETRY_MS } from '../constants.js';
import { describeRefusedPart } from './unansweredSends.js';

import type { PromptShape, Route } from '@sardinegrade/routing';
import type { ForwarderState } from '../ForwarderState.js';
import type { LocalReply } from '../front/sendLocalReply.js';
import type { WorkerRecord } from '../workers/index.js';

/** Minimum time after which callers may retry a request with a refused prompt part, in milliseconds. */
const MIN_QUARANTINED_RETRY_MS = 1_000;

/** Jitter of the time after which callers are told to return, as a share of it: they do not all return together. */
const RETRY_JITTER_SHARE = 0.25;

/** A request that arrives while no worker of its service accepts one. */
export interface LimitedRequest {
  readonly route: Route;
  /** Priority rank; 0 is the most urgent. */
  readonly priority: number;
  readonly remainingMs: number;
}

/**
 * Finds whether a request is refused because workers crash on a part of its prompt.
 *
 * @param state - state of the forwarder
 * @param prompt - the prompt; undefined if the request is not for a model
 * @returns the reply, or undefined if the request may be sent
 */
export const findQuarantineRefusal = (
  state: ForwarderState,
  prompt: PromptShape | undefined,
): LocalReply | undefined => {
  const refused = prompt && state.partQuarantine.findRefused(prompt.parts);
  if (refused === undefined) return undefined;
  const untilTrialMs = refused.trialAtMs - state.options.getNowMs();
  return {
    code: ResultCode.Quarantined,
    message: describeRefusedPart(refused),
    retryAfterMs: Math.max(MIN_QUARANTINED_RETRY_MS, untilTrialMs),
  };
};

/** A request of which the caller has received nothing. Times are in milliseconds. */
export interface PendingRequest {
  readonly route: Route;
  /** The prompt; undefined if the request is not for a model. */
  readonly prompt: PromptShape | undefined;
  /** Time in which its prompt is read on an idle engine. */
  readonly prefillMs: number;
  readonly waitedMs: number;
  readonly remainingMs: number;
}

/** Refuses a request that the exit of the process would cut: another VM can serve it whole. */
const findExitRefusal = (
  state: ForwarderState,
  { route, prefillMs }: PendingRequest,
): LocalReply | undefined => {
  const expectedMs = Math.max(route.targetMs, prefillMs + state.pace.estimateMs(route.name));
  if (expectedMs <= state.untilExitMs) return undefined;
  return {
    code: ResultCode.NoUpstream,
    message: 'This VM would exit before the request is answered.',
    retryAfterMs: DRAINING_RETRY_MS,
  };
};

/**
 * Finds whether a request may not be sent, whichever worker would take it.
 *
 * @param state - state of the forwarder
 * @param pending - the request
 * @returns the reply, or undefined if the request may be sent
 */
export const findSendRefusal = (
  state: ForwarderState,
  pending: PendingRequest,
): LocalReply | undefined =>
  findQuarantineRefusal(state, pending.prompt) ?? findExitRefusal(state, pending);

/**
 * Finds whether a request that waits is refused: it may not be sent, has waited for too long or can no longer complete
 * before its deadline.
 *
 * @param state - state of the forwarder
 * @param pending - the request
 * @returns the reply, or undefined if the request goes on waiting
 */
export const findWaitRefusal = (
  state: ForwarderState,
  pending: PendingRequest,
): LocalReply | undefined => {
  const { route } = pending;
  const times = { ...pending, streamMs: state.pace.estimateMs(route.name) };
  const overload: LocalReply = {
    code: ResultCode.Overloaded,
    message: 'all engines had too much to read',
  };
  return findSendRefusal(state, pending) ?? (shouldRefuse(route, times) ? overload : undefined);
};

/** Estimates when a worker accepts a request of this VM, in milliseconds. */
const estimateWaitMs = (
  { workerLimits, workerNotices }: ForwarderState,
  limited: readonly WorkerRecord[],
  ahead: number,
): number => {
  const unpaused = limited.filter((record) => workerNotices.getPauseMs(record) === 0);
  let waitMs = unpaused.length === 0 ? Infinity : workerLimits.estimateWaitMs(unpaused, ahead);
  for (const record of limited) {
    const pauseMs = workerNotices.getPauseMs(record);
    if (pauseMs === 0) continue;
    const limitMs = workerLimits.canSend(record) ? 0 : workerLimits.estimateWaitMs([record], ahead);
    waitMs = Math.min(waitMs, Math.max(pauseMs, limitMs));
  }
  return waitMs;
};

/**
 * Finds whether a request is refused because no worker would accept it in time.
 *
 * @param state - state of the forwarder
 * @param limited - the workers
 * @param request - the request
 * @returns the reply, or undefined if the request may wait
 */
export const findLimitRefusal = (
  state: ForwarderState,
  limited: readonly WorkerRecord[],
  { route, priority, remainingMs }: LimitedRequest,
): LocalReply | undefined => {
  const waitMs = estimateWaitMs(state, limited, state.queue.countAhead(priority));
  if (waitMs <= Math.min(computeLongestWaitMs(route), remainingMs)) return undefined;
  if (limited.every((record) => state.workerNotices.getPauseMs(record) > 0)) {
    return {
      code: ResultCode.NoUpstream,
      message: 'all workers want no requests for a time',
      retryAfterMs: waitMs * (1 + RETRY_JITTER_SHARE * state.options.random()),
    };
  }
  return { code: ResultCode.Overloaded, message: 'all workers limit their requests' };
};
