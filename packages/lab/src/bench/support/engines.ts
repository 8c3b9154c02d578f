import type { ClusterEngine } from '../../harness/index.js';

/** Speed of the engines of a bench. */
export interface EngineSpeed {
  readonly slots: number;
  readonly tokenIntervalMs: number;
  readonly batchSlope: number;
  readonly prefillTokensPerSecond: number;
}

/** An engine whose full batch stays well within the token interval that callers want. */
export const ENGINE_SPEED: EngineSpeed = {
  slots: 8,
  tokenIntervalMs: 20,
  batchSlope: 0.02,
  prefillTokensPerSecond: 100_000,
};

/**
 * Builds the engines of a bench.
 *
 * @param count - how many
 * @param speed - the speed of each
 * @param changes - further flags and proxies
 * @returns the engines
 */
export const buildEngines = (
  count: number,
  speed: EngineSpeed = ENGINE_SPEED,
  changes: Partial<ClusterEngine> = {},
): readonly ClusterEngine[] =>
  Array.from({ length: count }, () => ({
    slots: speed.slots,
    ...changes,
    flags: {
      'token-interval-ms': speed.tokenIntervalMs,
      'batch-slope': speed.batchSlope,
      'prefill-tokens-per-second': speed.prefillTokensPerSecond,
      ...changes.flags,
    },
  }));

/**
 * Computes the tokens that an engine makes with all its slots busy, prompts left out.
 *
 * @param speed - the engine's speed
 * @returns tokens per second
 */
export const computeCapacity = (speed: EngineSpeed = ENGINE_SPEED): number => {
  const stepMs = speed.tokenIntervalMs * (1 + speed.batchSlope * (speed.slots - 1));
  return (speed.slots * 1_000) / stepMs;
};
