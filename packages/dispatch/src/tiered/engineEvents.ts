import { ResultCode } from '@sardinegrade/common';

import { EngineHealth, EngineHealthEvent, RequestEvent, RequestState } from '../charts/index.js';
import { DispatchActionKind, PreemptionMode } from '../enums.js';
import {
  applyHealthEvent,
  applyLoadReport,
  checkStragglers,
  scheduleProbe,
} from '../engines/index.js';
import { estimateRetryAfterMs } from './overload.js';
import { updateAvailablePools } from './engineSelection.js';
import { finishGrant, preemptRecord, refuseRecord } from './records.js';
import { quarantineFingerprint } from './quarantine.js';

import type { Fingerprint, UpstreamId } from '@sardinegrade/common';
import type { LoadReport } from '../types.js';
import type { TieredEngine, TieredState } from './types.js';

const MIN_PROBE_INTERVAL_MS = 500;

/** A grant is removed if its end has not been reported this long after its deadline. */
const OVERDUE_LIMIT_MS = 30_000;

/** A load report without the leaving flag makes a leaving engine healthy again only after this time. */
const MIN_LEAVING_MS = 30_000;

/** A probe without a result counts as failed after this time. */
const PROBE_TIMEOUT_MS = 5_000;

/** Delay before failed connections are checked: if the engine crashed, its other connections have failed by then. */
const CONNECTION_FAILURE_CHECK_MS = 500;

/** If an engine is lost within this time after a connection failed, the connection's request is a crash candidate. */
const CONNECTION_FAILURE_LIFETIME_MS = 10_000;

/**
 * Requests a probe over a new connection of an engine that may be down.
 *
 * @param state - dispatcher state, modified in place
 * @param engine - the engine
 * @param nowMs - current time, in milliseconds
 */
export const requestProbe = (state: TieredState, engine: TieredEngine, nowMs: number): void => {
  if (nowMs - engine.probeSentAtMs < MIN_PROBE_INTERVAL_MS) return;
  engine.probeSentAtMs = nowMs;
  state.actions.push({ kind: DispatchActionKind.ProbeUpstream, upstream: engine.id });
};

const updateHealth = (
  state: TieredState,
  engine: TieredEngine,
  event: EngineHealthEvent,
  nowMs: number,
): boolean => {
  if (!applyHealthEvent(engine, event, nowMs)) return false;
  updateAvailablePools(state);
  return true;
};

/** Cancels the paused requests of an engine that receives no new work, so that they can resume on other engines. */
const cancelPaused = (state: TieredState, engine: TieredEngine, nowMs: number): void => {
  for (const record of [...engine.paused])
    preemptRecord(state, record, PreemptionMode.Cancel, nowMs);
};

/**
 * Handles an engine that is leaving: it receives no new requests.
 *
 * @param state - dispatcher state, modified in place
 * @param upstream - the engine
 * @param nowMs - current time, in milliseconds
 */
export const handleLeaving = (state: TieredState, upstream: UpstreamId, nowMs: number): void => {
  const engine = state.engineById.get(upstream);
  if (engine === undefined) return;
  if (engine.health === EngineHealth.Leaving) return;
  if (!updateHealth(state, engine, EngineHealthEvent.Leave, nowMs)) return;
  cancelPaused(state, engine, nowMs);
};

/** A request that may have crashed its engine. */
interface CrashCandidate {
  readonly fingerprint: Fingerprint;
  readonly wasSuspect: boolean;
}

const collectCrashCandidates = (engine: TieredEngine, nowMs: number): readonly CrashCandidate[] => {
  const running = [...engine.running].map((record) => ({
    fingerprint: record.ask.fingerprint,
    wasSuspect: record.isSuspectRetry,
  }));
  const failed = engine.recentConnectionFailures.filter(
    ({ atMs }) => nowMs - atMs < CONNECTION_FAILURE_LIFETIME_MS,
  );
  return [...running, ...failed];
};

const recordCrashes = (
  state: TieredState,
  engine: TieredEngine,
  candidates: readonly CrashCandidate[],
  nowMs: number,
): void => {
  for (const { fingerprint, wasSuspect } of candidates) {
    if (!state.suspicions.recordCrash(fingerprint, engine.id, wasSuspect, nowMs)) continue;
    const untilMs = state.suspicions.getUntilMs(fingerprint) ?? nowMs;
    state.actions.push({ kind: DispatchActionKind.Quarantine, fingerprint, untilMs });
    quarantineFingerprint(state, fingerprint, nowMs);
  }
};

/**
 * Handles the loss of an engine: its grants end, and all requests that ran on it become suspects.
 *
 * @param state - dispatcher state, modified in place
 * @param upstream - the engine
 * @param nowMs - current time, in milliseconds
 */
export const handleLost = (state: TieredState, upstream: UpstreamId, nowMs: number): void => {
  const engine = state.engineById.get(upstream);
  if (engine === undefined) return;
  const candidates = collectCrashCandidates(engine, nowMs);
  engine.recentConnectionFailures = [];
  for (const record of [...engine.running, ...engine.paused]) {
    finishGrant(state, record, RequestEvent.Lose, nowMs);
    if (record.isSuspectRetry) state.suspicions.releaseRetry(record.ask.fingerprint, nowMs);
  }
  updateHealth(state, engine, EngineHealthEvent.Lose, nowMs);
  recordCrashes(state, engine, candidates, nowMs);
  refuseUnservable(state, nowMs);
};

/** Refuses waiting requests of pools whose engines are all lost, leaving or draining, so that daemons try elsewhere. */
export const refuseUnservable = (state: TieredState, nowMs: number): void => {
  for (const classState of state.classByKey.values()) {
    const hasNoEngine = !state.engines.some(
      (engine) =>
        engine.pool === classState.pool &&
        engine.isMember &&
        !engine.isDraining &&
        engine.health !== EngineHealth.Lost &&
        engine.health !== EngineHealth.Leaving,
    );
    if (!hasNoEngine) continue;
    for (const record of [...classState.constrained, ...classState.queue.list()]) {
      const retryAfterMs = estimateRetryAfterMs(state, classState, nowMs);
      refuseRecord(state, record, ResultCode.NoUpstream, retryAfterMs, nowMs);
    }
  }
};

/**
 * Handles the result of a probe.
 *
 * @param state - dispatcher state, modified in place
 * @param upstream - the engine
 * @param isHealthy - whether a new connection to the engine succeeded
 * @param nowMs - current time, in milliseconds
 */
export const handleProbed = (
  state: TieredState,
  upstream: UpstreamId,
  isHealthy: boolean,
  nowMs: number,
): void => {
  const engine = state.engineById.get(upstream);
  if (engine === undefined) return;
  if (isHealthy) engine.blockedUntilMs = nowMs;
  const isServing =
    engine.health === EngineHealth.Healthy || engine.health === EngineHealth.Reduced;
  if (isServing && !isHealthy) updateHealth(state, engine, EngineHealthEvent.Stall, nowMs);
  const event = isHealthy ? EngineHealthEvent.ProbePassed : EngineHealthEvent.ProbeFailed;
  updateHealth(state, engine, event, nowMs);
};

/**
 * Handles an engine's load report.
 *
 * @param state - dispatcher state, modified in place
 * @param report - the load report, which may be delayed
 * @param nowMs - current time, in milliseconds
 */
export const handleLoadReport = (state: TieredState, report: LoadReport, nowMs: number): void => {
  const engine = state.engineById.get(report.upstream);
  if (engine === undefined) return;
  if (report.isLeaving) handleLeaving(state, report.upstream, nowMs);
  if (!applyLoadReport(engine, report, nowMs) || report.isLeaving) return;
  const isLeaving = engine.health === EngineHealth.Leaving;
  if (isLeaving && report.atMs > engine.healthSinceMs + MIN_LEAVING_MS)
    updateHealth(state, engine, EngineHealthEvent.Return, nowMs);
};

/**
 * Checks connections that failed on an engine that is up. If no request that was granted before the first failure is
 * still running, the engine crashed and has restarted.
 */
const checkConnectionFailures = (state: TieredState, engine: TieredEngine, nowMs: number): void => {
  const firstFailure = engine.recentConnectionFailures[0];
  if (firstFailure === undefined || nowMs - firstFailure.atMs < CONNECTION_FAILURE_CHECK_MS) return;
  const { recentConnectionFailures } = engine;
  engine.recentConnectionFailures = [];
  for (const { slotAcquiredAtMs } of engine.running)
    if (slotAcquiredAtMs < firstFailure.atMs) return;
  recordCrashes(state, engine, recentConnectionFailures, nowMs);
};

const probeEngine = (state: TieredState, engine: TieredEngine, nowMs: number): void => {
  if (engine.health === EngineHealth.Probing) {
    const isTimedOut = nowMs - engine.healthSinceMs > PROBE_TIMEOUT_MS;
    if (isTimedOut) updateHealth(state, engine, EngineHealthEvent.ProbeFailed, nowMs);
    return;
  }
  const isDue = engine.probeAtMs <= nowMs;
  const isSuspendedOrLost =
    engine.health === EngineHealth.Suspended || engine.health === EngineHealth.Lost;
  if (!isSuspendedOrLost || !isDue || !engine.isMember) return;
  updateHealth(state, engine, EngineHealthEvent.Probe, nowMs);
  scheduleProbe(engine, nowMs);
  requestProbe(state, engine, nowMs);
};

/**
 * Checks failed connections, sends due probes and detects stragglers.
 *
 * @param state - dispatcher state, modified in place
 * @param nowMs - current time, in milliseconds
 */
export const checkEngines = (state: TieredState, nowMs: number): void => {
  for (const engine of state.engines) {
    checkConnectionFailures(state, engine, nowMs);
    probeEngine(state, engine, nowMs);
  }
  if (!state.tuning.detectsStragglers) return;
  const { changed, medianIntervalMs } = checkStragglers(state.engines, nowMs);
  state.medianIntervalMs = medianIntervalMs;
  if (changed.length === 0) return;
  updateAvailablePools(state);
};

/**
 * Cancels paused requests whose deadline has passed, and removes grants whose daemon never reported their end.
 *
 * @param state - dispatcher state, modified in place
 * @param nowMs - current time, in milliseconds
 */
export const removeOverdue = (state: TieredState, nowMs: number): void => {
  for (const record of state.records.values()) {
    if (record.state === RequestState.Waiting) continue;
    const overdueMs = nowMs - record.ask.deadlineAtMs;
    if (overdueMs > OVERDUE_LIMIT_MS) finishGrant(state, record, RequestEvent.Withdraw, nowMs);
    else if (record.state === RequestState.Paused && overdueMs >= 0)
      preemptRecord(state, record, PreemptionMode.Cancel, nowMs);
  }
};
