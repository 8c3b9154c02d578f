import { build } from 'hdr-histogram-js';

import { HISTOGRAM_MAXIMUM, HISTOGRAM_UNITS_PER_MS } from './constants.js';
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
  return Math.min(HISTOGRAM_MAXIMUM, Math.max(0, units));
};

/** Durations of one series: percentiles over a recent window, sum and count since the start. */
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
   * @param durationMs - the duration; what is not a finite number is left out
   */
  record(durationMs: number): void {
    if (!Number.isFinite(durationMs)) return;
    this.#window.present.recordValue(toUnits(durationMs));
    this.#sumMs += durationMs;
    this.#count += 1;
  }

  /** @returns sum of all durations recorded */
  get sumMs(): number {
    return this.#sumMs;
  }

  /** @returns number of durations recorded */
  get count(): number {
    return this.#count;
  }

  /**
   * Computes percentiles of the recent window.
   *
   * @param quantiles - parts between 0 and 1
   * @returns a duration in milliseconds for each; undefined where the window is empty
   */
  computeQuantiles(quantiles: readonly number[]): readonly number[] | undefined {
    const merged = createHistogram();
    for (const half of this.#window.halves) merged.add(half);
    if (merged.totalCount === 0) return undefined;
    return quantiles.map(
      (quantile) => merged.getValueAtPercentile(quantile * 100) / HISTOGRAM_UNITS_PER_MS,
    );
  }

  /** @returns the percentiles that status views show; undefined where the window is empty */
  describe(): LatencySummary | undefined {
    const [p50Ms, p95Ms, p99Ms] = this.computeQuantiles([0.5, 0.95, 0.99]) ?? [];
    if (p50Ms === undefined || p95Ms === undefined || p99Ms === undefined) return undefined;
    let count = 0;
    for (const half of this.#window.halves) count += half.totalCount;
    return { count, p50Ms, p95Ms, p99Ms };
  }
}
