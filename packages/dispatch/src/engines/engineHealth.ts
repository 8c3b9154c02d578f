import type { EngineHealthEvent } from '../charts/index.js';
import { EngineHealth, findNextEngineHealth } from '../charts/index.js';
import { resetAverage } from '../collections/index.js';
import { INITIAL_PROBE_DELAY_MS } from './createEngine.js';

import type { EngineState } from './types.js';

const MAX_PROBE_DELAY_MS = 30_000;

/**
 * Limit of an engine that becomes reduced after it was suspended, probed or lost, as a share of its slots.
 * REDUCED_LIMIT_SHARE applies in addition.
 */
const RECOVERY_LIMIT_SHARE = 0.25;

const resetLatencyAverages = (engine: EngineState): void => {
  resetAverage(engine.tokenIntervalMs);
  resetAverage(engine.progressGapMs);
};

const onSuspended = (engine: EngineState, nowMs: number): void => {
  engine.probeAtMs = nowMs + engine.probeDelayMs;
  engine.probeDelayMs = Math.min(MAX_PROBE_DELAY_MS, engine.probeDelayMs * 2);
};

const onLost = (engine: EngineState, nowMs: number): void => {
  engine.prefixes.clear();
  engine.externalLoad = 0;
  engine.probeDelayMs = INITIAL_PROBE_DELAY_MS;
  onSuspended(engine, nowMs);
};

const onReduced = (engine: EngineState, _nowMs: number, previous: EngineHealth): void => {
  if (previous === EngineHealth.Healthy) return;
  engine.limit = Math.max(1, engine.slots * RECOVERY_LIMIT_SHARE);
  resetLatencyAverages(engine);
};

const onHealthy = (engine: EngineState): void => {
  engine.probeDelayMs = INITIAL_PROBE_DELAY_MS;
};

type EntryHandler = (engine: EngineState, nowMs: number, previous: EngineHealth) => void;

const ENTRY_HANDLERS: Readonly<Partial<Record<EngineHealth, EntryHandler>>> = {
  [EngineHealth.Healthy]: onHealthy,
  [EngineHealth.Reduced]: onReduced,
  [EngineHealth.Suspended]: onSuspended,
  [EngineHealth.Lost]: onLost,
};

/**
 * Applies an event to an engine's health, following the state chart.
 *
 * @param engine - the engine, modified in place
 * @param event - the event of the state chart
 * @param nowMs - current time, in milliseconds
 * @returns whether the health changed
 */
export const applyHealthEvent = (
  engine: EngineState,
  event: EngineHealthEvent,
  nowMs: number,
): boolean => {
  const next = findNextEngineHealth(engine.health, event);
  if (next === undefined || next === engine.health) return false;
  const previous = engine.health;
  engine.health = next;
  engine.healthSinceMs = nowMs;
  ENTRY_HANDLERS[next]?.(engine, nowMs, previous);
  return true;
};

/**
 * Schedules the next probe of an engine after one was sent, and doubles the delay for the one after it.
 *
 * @param engine - the engine, modified in place
 * @param nowMs - current time, in milliseconds
 */
export const scheduleProbe = (engine: EngineState, nowMs: number): void => {
  onSuspended(engine, nowMs);
};
