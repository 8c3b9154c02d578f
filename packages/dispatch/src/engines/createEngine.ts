import { EngineHealth } from '../charts/index.js';
import { createAverage } from '../collections/index.js';
import { GrantCountHistory } from './GrantCountHistory.js';
import { PrefixCache } from './PrefixCache.js';

import type { UpstreamConfiguration } from '@sardinegrade/common';
import type { EngineRequest, EngineState } from './types.js';

/** Delay before the first probe of a suspended or lost engine; it doubles with each probe and each suspension. */
export const INITIAL_PROBE_DELAY_MS = 1_000;

/**
 * Creates the state of an engine, which starts as healthy with all its slots.
 *
 * @param definition - configuration of the engine
 * @param nowMs - current time, in milliseconds
 * @returns the engine without requests or samples
 */
export const createEngine = <Request extends EngineRequest>(
  definition: UpstreamConfiguration,
  nowMs: number,
): EngineState<Request> => ({
  id: definition.id,
  pool: definition.pool,
  slots: definition.slots,
  isMember: true,
  isDraining: definition.draining,
  health: EngineHealth.Healthy,
  healthSinceMs: nowMs,
  running: new Set(),
  paused: new Set(),
  limit: definition.slots,
  limitReducedAtMs: -Infinity,
  blockedUntilMs: -Infinity,
  tokenIntervalMs: createAverage(),
  progressGapMs: createAverage(),
  externalLoad: 0,
  externalLoadExpiresAtMs: -Infinity,
  grantCounts: new GrantCountHistory(),
  reportAtMs: -Infinity,
  cacheUse: 0,
  prefixes: new PrefixCache(),
  recentConnectionFailures: [],
  probeAtMs: nowMs,
  probeDelayMs: INITIAL_PROBE_DELAY_MS,
  probeSentAtMs: -Infinity,
});
