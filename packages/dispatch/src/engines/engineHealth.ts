import type { EngineHealthEvent } from '../charts/index.js';
import { EngineHealth, findNextEngineHealth } from '../charts/index.js';
import { resetAverage } from '../collections/index.js';
import { PROBE_DELAY_MS } from './createEngine.js';

import type { EngineState } from './types.js';

const PROBE_DELAY_LIMIT_MS = 30_000;

/** Part of its slots that an engine starts with when it comes back. */
const RETURN_LIMIT_SHARE = 0.25;

const resetMeasures = (engine: EngineState): void => {
  resetAverage(engine.tokenIntervalMs);
  resetAverage(engine.progressGapMs);
};

const onSuspended = (engine: EngineState, nowMs: number): void => {
  engine.probeAtMs = nowMs + engine.probeDelayMs;
  engine.probeDelayMs = Math.min(PROBE_DELAY_LIMIT_MS, engine.probeDelayMs * 2);
};

const onLost = (engine: EngineState, nowMs: number): void => {
  engine.prefixes.clear();
  engine.externalLoad = 0;
  engine.probeDelayMs = PROBE_DELAY_MS;
  onSuspended(engine, nowMs);
};

const onReduced = (engine: EngineState, _nowMs: number, previous: EngineHealth): void => {
  if (previous === EngineHealth.Healthy) return;
  engine.limit = Math.max(1, engine.slots * RETURN_LIMIT_SHARE);
  resetMeasures(engine);
};

const onHealthy = (engine: EngineState): void => {
  engine.probeDelayMs = PROBE_DELAY_MS;
};

type EntryHandler = (engine: EngineState, nowMs: number, previous: EngineHealth) => void;

const ENTRY_HANDLERS: Readonly<Partial<Record<EngineHealth, EntryHandler>>> = {
  [EngineHealth.Healthy]: onHealthy,
  [EngineHealth.Reduced]: onReduced,
  [EngineHealth.Suspended]: onSuspended,
  [EngineHealth.Lost]: onLost,
};

/**
 * Applies an event to an engine's health, as the chart says.
 *
 * @param engine - the engine, changed in place
 * @param event - what happened to it
 * @param nowMs - the present
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
 * Sets the time of an engine's next probe after one was sent.
 *
 * @param engine - the engine, changed in place
 * @param nowMs - the present
 */
export const scheduleProbe = (engine: EngineState, nowMs: number): void => {
  onSuspended(engine, nowMs);
};
