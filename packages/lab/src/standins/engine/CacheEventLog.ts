import type { CacheChange } from './PrefixCache.js';

/** A cache change with its sequence number. */
export interface NumberedCacheEvent extends CacheChange {
  readonly sequence: number;
}

interface LoggedEvent extends NumberedCacheEvent {
  readonly visibleAtMs: number;
}

const LOG_LIMIT = 4_096;
const POLL_INTERVAL_MS = 20;

/** Log of cache events, which become visible with a lag and may have gaps. */
export class CacheEventLog {
  private readonly events: LoggedEvent[] = [];
  private sequence = 0;

  /** Appends an event. A lost event only uses up a sequence number, which readers see as a gap. */
  append(change: CacheChange, visibleAtMs: number, isLost: boolean): void {
    if (change.stored.length === 0 && change.evicted.length === 0) return;
    this.sequence += 1;
    if (isLost) return;
    this.events.push({ ...change, sequence: this.sequence, visibleAtMs });
    if (this.events.length > LOG_LIMIT) this.events.shift();
  }

  /** Collects the events with a higher sequence number that are visible at the given time. */
  collect(after: number, nowMs: number): readonly NumberedCacheEvent[] {
    return this.events
      .filter((event) => event.sequence > after && event.visibleAtMs <= nowMs)
      .map(({ sequence, stored, evicted }) => ({ sequence, stored, evicted }));
  }

  /** Waits until an event with a higher sequence number is visible, the timeout expires or the signal aborts. */
  async wait(
    after: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<readonly NumberedCacheEvent[]> {
    const deadlineAtMs = Date.now() + timeoutMs;
    for (;;) {
      const events = this.collect(after, Date.now());
      if (events.length > 0 || Date.now() >= deadlineAtMs || signal.aborted) return events;
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }
}
