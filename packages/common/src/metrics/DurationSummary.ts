import { build } from 'hdr-histogram-js';

import { HISTOGRAM_MAXIMUM_UNITS, HISTOGRAM_UNITS_PER_MS } from './constants.js';
import { RecentWindow } from './RecentWindow.js';

import type { Histogram } from 'hdr-histogram-js';
import type { Clock } from '../time/index.js';
import type { LatencySummary } from './types.js';

const createHistogram = (): Histogram =>
  build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: 2,
    numberOfSignificantValueDigits: 2,
  });

const toUnits = (durationMs: number): number => {
  const units = Math.round(durationMs * HISTOGRAM_UNITS_PER_MS);
  return Math.min(HISTOGRAM_MAXIMUM_UNITS, Math.max(0, units));
};

/** Durations of one series: percentiles over the recent window, and sum and count since the process started. */
export class DurationSummary {
  readonly #window: RecentWindow<Histogram>;
  #sumMs = 0;
  #count = 0;

  constructor(clock: Clock) {
    this.#window = new RecentWindow(clock, createHistogram);
  }

  /**
   * Records a duration.
   *
   * @param durationMs - duration in milliseconds; NaN and infinite values are ignored
   */
  record(durationMs: number): void {
    if (!Number.isFinite(durationMs)) return;
    this.#window.current.recordValue(toUnits(durationMs));
    this.#sumMs += durationMs;
    this.#count += 1;
  }

  /** @returns the sum of all durations since the process started, in milliseconds */
  get sumMs(): number {
    return this.#sumMs;
  }

  /** @returns the number of durations since the process started */
  get count(): number {
    return this.#count;
  }

  /**
   * Computes percentiles of the recent window.
   *
   * @param quantiles - quantiles between 0 and 1
   * @returns the duration of each quantile in milliseconds; undefined if the window is empty
   */
  computeQuantiles(quantiles: readonly number[]): readonly number[] | undefined {
    const merged = createHistogram();
    for (const half of this.#window.halves) merged.add(half);
    if (merged.totalCount === 0) return undefined;
    return quantiles.map(
      (quantile) => merged.getValueAtPercentile(quantile * 100) / HISTOGRAM_UNITS_PER_MS,
    );
  }

  /** @returns the percentiles shown in status views; undefined if the window is empty */
  describe(): LatencySummary | undefined {
    const [p50Ms, p95Ms, p99Ms] = this.computeQuantiles([0.5, 0.95, 0.99]) ?? [];
    if (p50Ms === undefined || p95Ms === undefined || p99Ms === undefined) return undefined;
    let count = 0;
    for (const half of this.#window.halves) count += half.totalCount;
    return { count, p50Ms, p95Ms, p99Ms };
  }
}
