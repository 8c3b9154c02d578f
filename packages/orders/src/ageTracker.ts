/** Measures by this daemon's monotonic clock how long ago it first saw a key. */
export interface AgeTracker {
  /**
   * Measures the time since the first call with this key. Clocks of different VMs are never compared.
   *
   * @param key - identifies what was seen, such as an attempt or a version of a record
   * @returns milliseconds since the first call; 0 on the first call
   */
  readonly measureAgeMs: (key: string) => number;
}

const TRACKED_KEY_LIMIT = 20_000;

/**
 * Creates an empty age tracker. It drops its oldest keys when it is full.
 *
 * @param getMonotonicMs - monotonic clock, in milliseconds
 * @returns the tracker
 */
export const createAgeTracker = (getMonotonicMs: () => number): AgeTracker => {
  const firstSeen = new Map<string, number>();

  const removeOldest = () => {
    for (const key of firstSeen.keys()) {
      if (firstSeen.size < TRACKED_KEY_LIMIT) return;
      firstSeen.delete(key);
    }
  };

  const measureAgeMs = (key: string): number => {
    const nowMs = getMonotonicMs();
    const firstSeenAtMs = firstSeen.get(key);
    if (firstSeenAtMs !== undefined) return nowMs - firstSeenAtMs;
    removeOldest();
    firstSeen.set(key, nowMs);
    return 0;
  };

  return { measureAgeMs };
};
