import { createMemoryPlatform, PlatformError, PlatformFailure } from '@sardinegrade/platform';

import type { PlatformClient } from '@sardinegrade/platform';
import type { Simulation } from '../../model/orders/Simulation.js';

/** A platform with latency, rate-limited writes and outages, in virtual time. */
export interface LimitedPlatform extends PlatformClient {
  readonly setOutage: (isDown: boolean) => void;
  readonly countCalls: () => { readonly reads: number; readonly writes: number };
  readonly countRateLimited: () => number;
}

/** Latency per call and write rate of a platform. */
export interface PlatformLimits {
  readonly minLatencyMs: number;
  readonly maxLatencyMs: number;
  readonly writesPerSecond: number;
}

const MS_PER_SECOND = 1_000;

/**
 * Creates an in-memory platform whose calls take time and whose writes are limited by a token bucket
 * with a burst of one second.
 *
 * @param world - the source of virtual time and random latencies
 * @param limits - the latency range and the write rate
 * @returns the platform client with its controls and counters
 */
export const createLimitedPlatform = (
  world: Simulation,
  limits: PlatformLimits,
): LimitedPlatform => {
  const memory = createMemoryPlatform({ clock: world.clock });
  let availableWrites = limits.writesPerSecond;
  let refilledAtMs = world.nowMs;
  let isDown = false;
  let reads = 0;
  let writes = 0;
  let rateLimitedWrites = 0;

  const claimWrite = (): boolean => {
    const refill = ((world.nowMs - refilledAtMs) * limits.writesPerSecond) / MS_PER_SECOND;
    availableWrites = Math.min(limits.writesPerSecond, availableWrites + refill);
    refilledAtMs = world.nowMs;
    if (availableWrites < 1) return false;
    availableWrites -= 1;
    return true;
  };

  const sleepHalfLatency = (): Promise<void> =>
    world.sleep(world.pickBetween(limits.minLatencyMs, limits.maxLatencyMs) / 2);

  const perform = async <Value>(run: () => Promise<Value>): Promise<Value> => {
    await sleepHalfLatency();
    if (isDown) throw new PlatformError(PlatformFailure.Unavailable, 'The platform is down.');
    const value = await run();
    await sleepHalfLatency();
    return value;
  };

  const performRead = <Value>(run: () => Promise<Value>): Promise<Value> => {
    reads += 1;
    return perform(run);
  };

  const performWrite = <Value>(run: () => Promise<Value>): Promise<Value> => {
    writes += 1;
    return perform(() => {
      if (claimWrite()) return run();
      rateLimitedWrites += 1;
      return Promise.reject(new PlatformError(PlatformFailure.Limited, 'Too many writes.'));
    });
  };

  return {
    read: (kind, name) => performRead(() => memory.read(kind, name)),
    list: (kind, prefix, after) => performRead(() => memory.list(kind, prefix, after)),
    write: (change) => performWrite(() => memory.write(change)),
    remove: (kind, name, ifVersion) => performWrite(() => memory.remove(kind, name, ifVersion)),
    watch: memory.watch,
    listVms: memory.listVms,
    setOutage: (value) => {
      isDown = value;
    },
    countCalls: () => ({ reads, writes }),
    countRateLimited: () => rateLimitedWrites,
  };
};
