import { toError } from '@sardinegrade/common';
import { createMemoryPlatform, PlatformError, PlatformFailure } from '@sardinegrade/platform';

import type { MemoryPlatform, PlatformClient } from '@sardinegrade/platform';
import type { OrderSchedule } from './types.js';
import type { SimulatedHost, Simulation } from './Simulation.js';

const CALL_TIMEOUT_MS = 5_000;
const MAX_WRITE_DELAY_MS = 90_000;

enum WriteFault {
  None = 'plain',
  Refused = 'refused',
  LostAnswer = 'lost_answer',
  LostWrite = 'lost_write',
  Delayed = 'delayed',
  Duplicated = 'duplicated',
}

/** The platform that all daemons of a model share, with injected faults. */
export interface ModelPlatform {
  /** Creates a client whose replies are delivered as events of the given host. */
  readonly connectHost: (host: SimulatedHost) => PlatformClient;
  readonly memory: MemoryPlatform;
  /** Stops injecting faults. */
  readonly stopFaults: () => void;
}

/** Creates a platform that delays calls and fails them with the probabilities of the schedule. */
export const createModelPlatform = (
  simulation: Simulation,
  schedule: OrderSchedule,
): ModelPlatform => {
  const memory = createMemoryPlatform({ clock: simulation.clock });
  const startMs = simulation.nowMs;
  let isFaulty = true;

  const isDown = (): boolean =>
    isFaulty &&
    schedule.outages.some(({ atMs, durationMs }) => {
      const elapsedMs = simulation.nowMs - startMs - atMs;
      return elapsedMs >= 0 && elapsedMs < durationMs;
    });

  const pickDelayMs = (): number =>
    isFaulty && simulation.pickBoolean(schedule.chances.slow)
      ? simulation.pickBetween(500, 4_000)
      : simulation.pickBetween(1, 10);

  const pickWriteFault = (): WriteFault => {
    if (!isFaulty) return WriteFault.None;
    if (isDown()) return simulation.pickBoolean(0.5) ? WriteFault.Refused : WriteFault.LostWrite;
    const { refused, lostAnswer, lostWrite, delayedWrite, duplicatedWrite } = schedule.chances;
    if (simulation.pickBoolean(refused)) return WriteFault.Refused;
    if (simulation.pickBoolean(lostAnswer)) return WriteFault.LostAnswer;
    if (simulation.pickBoolean(lostWrite)) return WriteFault.LostWrite;
    if (simulation.pickBoolean(delayedWrite)) return WriteFault.Delayed;
    return simulation.pickBoolean(duplicatedWrite) ? WriteFault.Duplicated : WriteFault.None;
  };

  const connectHost = (host: SimulatedHost): PlatformClient => {
    const performAfter = <Value>(delayMs: number, perform: () => Promise<Value>): Promise<Value> =>
      new Promise((resolve, reject) => {
        simulation.schedule(delayMs, () => {
          const replyDelayMs = simulation.pickBetween(1, 10);
          perform().then(
            (value) => simulation.schedule(replyDelayMs, () => resolve(value), host),
            (error: unknown) =>
              simulation.schedule(replyDelayMs, () => reject(toError(error)), host),
          );
        });
      });

    const rejectAfter = (delayMs: number, failure: PlatformFailure): Promise<never> =>
      performAfter(delayMs, () => Promise.reject(new PlatformError(failure, 'fault') as Error));

    const handleRead = <Value>(perform: () => Promise<Value>): Promise<Value> => {
      const isRefused = isFaulty && (isDown() || simulation.pickBoolean(schedule.chances.refused));
      if (isRefused) return rejectAfter(pickDelayMs(), PlatformFailure.Unavailable);
      return performAfter(pickDelayMs(), perform);
    };

    const performLater = (perform: () => Promise<unknown>) =>
      simulation.schedule(simulation.pickBetween(CALL_TIMEOUT_MS, MAX_WRITE_DELAY_MS), () => {
        void perform();
      });

    const handleWrite = <Value>(perform: () => Promise<Value>): Promise<Value> => {
      const fault = pickWriteFault();
      switch (fault) {
        case WriteFault.None:
          return performAfter(pickDelayMs(), perform);
        case WriteFault.Refused:
          return rejectAfter(pickDelayMs(), PlatformFailure.Limited);
        case WriteFault.LostAnswer:
          simulation.schedule(pickDelayMs(), () => void perform());
          return rejectAfter(CALL_TIMEOUT_MS, PlatformFailure.Uncertain);
        case WriteFault.LostWrite:
          return rejectAfter(CALL_TIMEOUT_MS, PlatformFailure.Uncertain);
        case WriteFault.Delayed:
          performLater(perform);
          return rejectAfter(CALL_TIMEOUT_MS, PlatformFailure.Uncertain);
        case WriteFault.Duplicated:
          performLater(perform);
          return performAfter(pickDelayMs(), perform);
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
