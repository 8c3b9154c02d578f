import type { ClusterEngine } from '../../harness/index.js';

/** Slots and speed of a simulated engine. */
export interface EngineSpeed {
  readonly slots: number;
  readonly tokenIntervalMs: number;
  readonly batchSlope: number;
  readonly prefillTokensPerSecond: number;
}

/** An engine whose token interval with all slots busy stays well below the callers' targets. */
export const ENGINE_SPEED: EngineSpeed = {
  slots: 8,
  tokenIntervalMs: 20,
  batchSlope: 0.02,
  prefillTokensPerSecond: 100_000,
};

/**
 * Builds the engines of a benchmark.
 *
 * @param count - the number of engines
 * @param speed - slots and speed of each engine
 * @param overrides - further engine options, such as flags or a fault proxy
 * @returns the engine definitions
 */
export const buildEngines = (
  count: number,
  speed: EngineSpeed = ENGINE_SPEED,
  overrides: Partial<ClusterEngine> = {},
): readonly ClusterEngine[] =>
  Array.from({ length: count }, () => ({
    slots: speed.slots,
    ...overrides,
    flags: {
      'token-interval-ms': speed.tokenIntervalMs,
      'batch-slope': speed.batchSlope,
      'prefill-tokens-per-second': speed.prefillTokensPerSecond,
      ...overrides.flags,
    },
  }));

/**
 * Computes the rate at which an engine generates tokens with all its slots busy, without the time
 * for prompt processing.
 *
 * @param speed - slots and speed of the engine
 * @returns tokens per second
 */
export const computeCapacity = (speed: EngineSpeed = ENGINE_SPEED): number => {
  const stepMs = speed.tokenIntervalMs * (1 + speed.batchSlope * (speed.slots - 1));
  return (speed.slots * 1_000) / stepMs;
};
