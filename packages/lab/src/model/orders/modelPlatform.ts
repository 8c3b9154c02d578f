import { createMemoryPlatform, PlatformError, PlatformFailure } from '@sardinegrade/platform';

import type { MemoryPlatform, PlatformClient } from '@sardinegrade/platform';
import type { OrderSchedule } from './types.js';
import type { Host, VirtualWorld } from './VirtualWorld.js';

const CALL_TIMEOUT_MS = 5_000;
const LONGEST_WRITE_DELAY_MS = 90_000;

enum WriteFate {
  Plain = 'plain',
  Refused = 'refused',
  LostAnswer = 'lost_answer',
  LostWrite = 'lost_write',
  Delayed = 'delayed',
  Duplicated = 'duplicated',
}

const toError = (error: unknown): Error =>
  error instanceof Error ? error : new Error(String(error));

/** The platform that all daemons of a model share. */
export interface ModelPlatform {
  /** The platform as one daemon reaches it. */
  readonly connectHost: (host: Host) => PlatformClient;
  readonly memory: MemoryPlatform;
  /** Ends all faults. */
  readonly stopFaults: () => void;
}

/** Creates a platform whose calls take time and fail as the schedule says. */
export const createModelPlatform = (
  world: VirtualWorld,
  schedule: OrderSchedule,
): ModelPlatform => {
  const memory = createMemoryPlatform({ clock: world.clock });
  const startMs = world.nowMs;
  let isFaulty = true;

  const isDown = (): boolean =>
    isFaulty &&
    schedule.outages.some(({ atMs, durationMs }) => {
      const passedMs = world.nowMs - startMs - atMs;
      return passedMs >= 0 && passedMs < durationMs;
    });

  const pickDelayMs = (): number =>
    isFaulty && world.hasLuck(schedule.chances.slow)
      ? world.pickBetween(500, 4_000)
      : world.pickBetween(1, 10);

  const pickFate = (): WriteFate => {
    if (!isFaulty) return WriteFate.Plain;
    if (isDown()) return world.hasLuck(0.5) ? WriteFate.Refused : WriteFate.LostWrite;
    const { refused, lostAnswer, lostWrite, delayedWrite, duplicatedWrite } = schedule.chances;
    if (world.hasLuck(refused)) return WriteFate.Refused;
    if (world.hasLuck(lostAnswer)) return WriteFate.LostAnswer;
    if (world.hasLuck(lostWrite)) return WriteFate.LostWrite;
    if (world.hasLuck(delayedWrite)) return WriteFate.Delayed;
    return world.hasLuck(duplicatedWrite) ? WriteFate.Duplicated : WriteFate.Plain;
  };

  const connectHost = (host: Host): PlatformClient => {
    const answerAfter = <Value>(delayMs: number, perform: () => Promise<Value>): Promise<Value> =>
      new Promise((resolve, reject) => {
        world.schedule(delayMs, () => {
          const answerMs = world.pickBetween(1, 10);
          perform().then(
            (value) => world.schedule(answerMs, () => resolve(value), host),
            (error: unknown) => world.schedule(answerMs, () => reject(toError(error)), host),
          );
        });
      });

    const rejectAfter = (delayMs: number, failure: PlatformFailure): Promise<never> =>
      answerAfter(delayMs, () => Promise.reject(new PlatformError(failure, 'fault') as Error));

    const handleRead = <Value>(perform: () => Promise<Value>): Promise<Value> => {
      const isRefused = isFaulty && (isDown() || world.hasLuck(schedule.chances.refused));
      if (isRefused) return rejectAfter(pickDelayMs(), PlatformFailure.Unavailable);
      return answerAfter(pickDelayMs(), perform);
    };

    const performLater = (perform: () => Promise<unknown>) =>
      world.schedule(world.pickBetween(CALL_TIMEOUT_MS, LONGEST_WRITE_DELAY_MS), () => {
        void perform();
      });

    const handleWrite = <Value>(perform: () => Promise<Value>): Promise<Value> => {
      const fate = pickFate();
      switch (fate) {
        case WriteFate.Plain:
          return answerAfter(pickDelayMs(), perform);
        case WriteFate.Refused:
          return rejectAfter(pickDelayMs(), PlatformFailure.Limited);
        case WriteFate.LostAnswer:
          world.schedule(pickDelayMs(), () => void perform());
          return rejectAfter(CALL_TIMEOUT_MS, PlatformFailure.Uncertain);
        case WriteFate.LostWrite:
          return rejectAfter(CALL_TIMEOUT_MS, PlatformFailure.Uncertain);
        case WriteFate.Delayed:
          performLater(perform);
          return rejectAfter(CALL_TIMEOUT_MS, PlatformFailure.Uncertain);
        case WriteFate.Duplicated:
          performLater(perform);
          return answerAfter(pickDelayMs(), perform);
      }
    };

    return {
      read: (kind, name) => handleRead(() => memory.read(kind, name)),
      list: (kind, prefix, from) => handleRead(() => memory.list(kind, prefix, from)),
      write: (change) => handleWrite(() => memory.write(change)),
      remove: (kind, name, ifVersion) => handleWrite(() => memory.remove(kind, name, ifVersion)),
      watch: memory.watch,
      listVms: memory.listVms,
    };
  };

  return {
    connectHost,
    memory,
    stopFaults: () => {
      isFaulty = false;
    },
  };
};
