import type { RouteName } from '../configuration/index.js';

/** Weight of a new gap between two events in the moving average, which covers the events of a few streams. */
const GAP_WEIGHT = 1 / 64;

/** Weight of the length of a completed stream in the moving average. */
const LENGTH_WEIGHT = 1 / 8;

interface Pace {
  /** Average gap between two events, in milliseconds. */
  readonly gapMs: number;
  /** Average number of events in a complete stream; 0 until one has completed. */
  readonly events: number;
}

const UNKNOWN: Pace = { gapMs: 0, events: 0 };

const addSample = (average: number, sample: number, weight: number): number =>
  average === 0 ? sample : average + (sample - average) * weight;

/**
 * Estimates how long the streams of a route continue after their first event.
 *
 * Load pattern: engines that prefill one long prompt after another produce events of the running streams only in
 * between. Streams then take three times as long, and one that starts late cannot complete before its caller's
 * deadline.
 */
export class StreamPace {
  readonly #paces = new Map<RouteName, Pace>();

  /** Records the gap between an event and the one before, in milliseconds. */
  recordGap(route: RouteName, gapMs: number): void {
    const pace = this.#paces.get(route) ?? UNKNOWN;
    this.#paces.set(route, { ...pace, gapMs: addSample(pace.gapMs, gapMs, GAP_WEIGHT) });
  }

  /** Records the number of events in a completed stream. */
  recordLength(route: RouteName, events: number): void {
    const pace = this.#paces.get(route) ?? UNKNOWN;
    this.#paces.set(route, { ...pace, events: addSample(pace.events, events, LENGTH_WEIGHT) });
  }

  /** @returns the expected time from the first event of a stream to its end, in milliseconds; 0 if unknown */
  estimateMs(route: RouteName): number {
    const { gapMs, events } = this.#paces.get(route) ?? UNKNOWN;
    return gapMs * Math.max(0, events - 1);
  }
}
