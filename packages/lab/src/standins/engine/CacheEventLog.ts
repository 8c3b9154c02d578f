import type { CacheChange } from './PrefixCache.js';

/** One event of the cache, numbered. */
export interface NumberedCacheEvent extends CacheChange {
  readonly sequence: number;
}

interface LoggedEvent extends NumberedCacheEvent {
  readonly visibleAtMs: number;
}

const LOG_LIMIT = 4_096;
const POLL_INTERVAL_MS = 20;

/** Publishes cache events late and with gaps. */
export class CacheEventLog {
  private readonly events: LoggedEvent[] = [];
  private sequence = 0;

  /** Numbers an event; a lost one leaves a gap. */
  append(change: CacheChange, visibleAtMs: number, isLost: boolean): void {
    if (change.stored.length === 0 && change.evicted.length === 0) return;
    this.sequence += 1;
    if (isLost) return;
    this.events.push({ ...change, sequence: this.sequence, visibleAtMs });
    if (this.events.length > LOG_LIMIT) this.events.shift();
  }

  /** Lists the events after a number that can be seen at a time. */
  collect(after: number, nowMs: number): readonly NumberedCacheEvent[] {
    return this.events
      .filter((event) => event.sequence > after && event.visibleAtMs <= nowMs)
      .map(({ sequence, stored, evicted }) => ({ sequence, stored, evicted }));
  }

  /** Waits until an event after a number can be seen, the time passes or the signal aborts. */
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
