/** Remembers when this daemon first saw something, by its own monotonic clock. */
export interface Observations {
  /**
   * Measures how long something has been known here; VMs' clocks are never compared.
   *
   * @param what - identifies what was seen
   * @returns milliseconds since it was first seen; 0 the first time
   */
  readonly measureAgeMs: (what: string) => number;
}

const OBSERVATION_LIMIT = 20_000;

/**
 * Creates an empty memory of observations, which forgets its oldest entries when full.
 *
 * @param getMonotonicMs - clock that never goes back
 * @returns the memory
 */
export const createObservations = (getMonotonicMs: () => number): Observations => {
  const firstSeen = new Map<string, number>();

  const removeOldest = () => {
    for (const what of firstSeen.keys()) {
      if (firstSeen.size < OBSERVATION_LIMIT) return;
      firstSeen.delete(what);
    }
  };

  const measureAgeMs = (what: string): number => {
    const nowMs = getMonotonicMs();
    const sinceMs = firstSeen.get(what);
    if (sinceMs !== undefined) return nowMs - sinceMs;
    removeOldest();
    firstSeen.set(what, nowMs);
    return 0;
  };

  return { measureAgeMs };
};
