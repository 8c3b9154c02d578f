import type { ServiceName } from '@sardinegrade/common';

/** Places for orders that run side by side in a service. */
export interface ServicePlaces {
  /** Takes a place at once, if one is free and nobody waits. */
  readonly acquire: (service: ServiceName, limit: number) => boolean;
  /** The latest limit; 1 for a service that was not called yet. */
  readonly getLimit: (service: ServiceName) => number;
  readonly countWaiting: (service: ServiceName) => number;
  /** Waits for a place; resolves to false where the time passes first. */
  readonly wait: (service: ServiceName, limit: number, timeout: Promise<void>) => Promise<boolean>;
  readonly release: (service: ServiceName) => void;
}

interface Waiter {
  readonly take: () => void;
}

interface ServiceLine {
  taken: number;
  limit: number;
  readonly waiters: Set<Waiter>;
}

/**
 * Creates the places of all services of one daemon, all free.
 *
 * @returns the places
 */
export const createServicePlaces = (): ServicePlaces => {
  const lines = new Map<ServiceName, ServiceLine>();

  const getLine = (service: ServiceName, limit: number): ServiceLine => {
    const line = lines.get(service) ?? { taken: 0, limit, waiters: new Set() };
    line.limit = Math.max(1, limit);
    lines.set(service, line);
    return line;
  };

  const acquire = (service: ServiceName, limit: number): boolean => {
    const line = getLine(service, limit);
    if (line.taken >= line.limit || line.waiters.size > 0) return false;
    line.taken += 1;
    return true;
  };

  const getLimit = (service: ServiceName): number => lines.get(service)?.limit ?? 1;

  const countWaiting = (service: ServiceName): number => lines.get(service)?.waiters.size ?? 0;

  const wait = async (
    service: ServiceName,
    limit: number,
    timeout: Promise<void>,
  ): Promise<boolean> => {
    if (acquire(service, limit)) return true;
    const { waiters } = getLine(service, limit);
    return new Promise<boolean>((resolve) => {
      const waiter: Waiter = { take: () => resolve(true) };
      waiters.add(waiter);
      void timeout.then(() => {
        if (waiters.delete(waiter)) resolve(false);
      });
    });
  };

  const release = (service: ServiceName) => {
    const line = lines.get(service);
    if (line === undefined) return;
    line.taken -= 1;
    for (const waiter of line.waiters) {
      if (line.taken >= line.limit) return;
      line.waiters.delete(waiter);
      line.taken += 1;
      waiter.take();
    }
  };

  return { acquire, getLimit, countWaiting, wait, release };
};
