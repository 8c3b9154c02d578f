import { createMemoryPlatform, PlatformError, PlatformFailure } from '@sardinegrade/platform';

import type { PlatformClient } from '@sardinegrade/platform';
import type { VirtualWorld } from '../../model/orders/VirtualWorld.js';

/** A platform with latency and rates, in virtual time. */
export interface LimitedPlatform extends PlatformClient {
  readonly setOutage: (isDown: boolean) => void;
  readonly countCalls: () => { readonly reads: number; readonly writes: number };
  readonly countLimited: () => number;
}

/** Latency and rates of a platform. */
export interface PlatformLimits {
  readonly shortestMs: number;
  readonly longestMs: number;
  readonly writesPerSecond: number;
}

const SECOND_MS = 1_000;

/** Creates a platform whose calls take time and whose writes are limited. */
export const createLimitedPlatform = (
  world: VirtualWorld,
  limits: PlatformLimits,
): LimitedPlatform => {
  const memory = createMemoryPlatform({ clock: world.clock });
  let free = limits.writesPerSecond;
  let countedAtMs = world.nowMs;
  let isDown = false;
  let reads = 0;
  let writes = 0;
  let limited = 0;

  const acquireWrite = (): boolean => {
    const added = ((world.nowMs - countedAtMs) * limits.writesPerSecond) / SECOND_MS;
    free = Math.min(limits.writesPerSecond, free + added);
    countedAtMs = world.nowMs;
    if (free < 1) return false;
    free -= 1;
    return true;
  };

  const sleepHalf = (): Promise<void> =>
    world.sleep(world.pickBetween(limits.shortestMs, limits.longestMs) / 2);

  const perform = async <Value>(run: () => Promise<Value>): Promise<Value> => {
    await sleepHalf();
    if (isDown) throw new PlatformError(PlatformFailure.Unavailable, 'The platform is down.');
    const value = await run();
    await sleepHalf();
    return value;
  };

  const performRead = <Value>(run: () => Promise<Value>): Promise<Value> => {
    reads += 1;
    return perform(run);
  };

  const performWrite = <Value>(run: () => Promise<Value>): Promise<Value> => {
    writes += 1;
    return perform(() => {
      if (acquireWrite()) return run();
      limited += 1;
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
    countLimited: () => limited,
  };
};
