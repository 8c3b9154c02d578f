import type { ServiceName } from '@sardinegrade/common';

/** Slots that limit how many orders of this daemon run concurrently in each service. */
export interface ServiceSlots {
  /** Acquires a slot immediately if one is free and no order waits; returns whether it did. */
  readonly acquire: (service: ServiceName, limit: number) => boolean;
  /** The latest limit; 1 for a service that has not been called yet. */
  readonly getLimit: (service: ServiceName) => number;
  readonly countWaiting: (service: ServiceName) => number;
  /** Waits for a slot; resolves to false if the timeout ends first. */
  readonly wait: (service: ServiceName, limit: number, timeout: Promise<void>) => Promise<boolean>;
  readonly release: (service: ServiceName) => void;
}

interface Waiter {
  readonly grant: () => void;
}

interface SlotQueue {
  inUse: number;
  limit: number;
  readonly waiters: Set<Waiter>;
}

/**
 * Creates the slots of one daemon for all services, all free.
 *
 * @returns the slots
 */
export const createServiceSlots = (): ServiceSlots => {
  const queues = new Map<ServiceName, SlotQueue>();

  const getQueue = (service: ServiceName, limit: number): SlotQueue => {
    const queue = queues.get(service) ?? { inUse: 0, limit, waiters: new Set() };
    queue.limit = Math.max(1, limit);
    queues.set(service, queue);
    return queue;
  };

  const acquire = (service: ServiceName, limit: number): boolean => {
    const queue = getQueue(service, limit);
    if (queue.inUse >= queue.limit || queue.waiters.size > 0) return false;
    queue.inUse += 1;
    return true;
  };

  const getLimit = (service: ServiceName): number => queues.get(service)?.limit ?? 1;

  const countWaiting = (service: ServiceName): number => queues.get(service)?.waiters.size ?? 0;

  const wait = async (
    service: ServiceName,
    limit: number,
    timeout: Promise<void>,
  ): Promise<boolean> => {
    if (acquire(service, limit)) return true;
    const { waiters } = getQueue(service, limit);
    return new Promise<boolean>((resolve) => {
      const waiter: Waiter = { grant: () => resolve(true) };
      waiters.add(waiter);
      void timeout.then(() => {
        if (waiters.delete(waiter)) resolve(false);
      });
    });
  };

  const release = (service: ServiceName) => {
    const queue = queues.get(service);
    if (queue === undefined) return;
    queue.inUse -= 1;
    for (const waiter of queue.waiters) {
      if (queue.inUse >= queue.limit) return;
      queue.waiters.delete(waiter);
      queue.inUse += 1;
      waiter.grant();
    }
  };

  return { acquire, getLimit, countWaiting, wait, release };
};
