import * as constants from './constants.js';
import { DurationSummary } from './DurationSummary.js';
import { MetricKind, MetricName } from './enums.js';
import { renderMetric } from './renderPrometheus.js';
import { SeriesMap } from './SeriesMap.js';

import type { Clock } from '../time/index.js';
import type { PrometheusSample } from './renderPrometheus.js';
import type { LabelValues } from './SeriesMap.js';
import type { GaugeSample, MetricLabels } from './types.js';

interface Counter {
  count: number;
}

const MS_PER_SECOND = 1_000;

const toLabelValues = (name: MetricName, labels: MetricLabels): LabelValues =>
  constants.METRIC_DEFINITIONS[name].labels.map((label) => labels[label] ?? '');

const listSummarySamples = (
  values: LabelValues,
  summary: DurationSummary,
): readonly PrometheusSample[] => {
  const quantiles = constants.SUMMARY_QUANTILES;
  const durations = summary.computeQuantiles(quantiles) ?? [];
  const samples = durations.map((durationMs, index): PrometheusSample => {
    const extraLabel = ['quantile', String(quantiles[index])] as const;
    return { values, extraLabel, value: durationMs / MS_PER_SECOND };
  });
  return [
    ...samples,
    { suffix: '_sum', values, value: summary.sumMs / MS_PER_SECOND },
    { suffix: '_count', values, value: summary.count },
  ];
};

/** Holds all counters, summaries and gauges. */
export class MetricStore {
  readonly #clock: Clock;
  readonly #counters = new Map<MetricName, SeriesMap<Counter>>();
  readonly #summaries = new Map<MetricName, SeriesMap<DurationSummary>>();
  readonly #gauges = new Map<MetricName, () => Iterable<GaugeSample>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Increases a counter.
   *
   * @param name - name of a counter
   * @param labels - values of the labels that the metric declares
   * @param count - increment
   */
  addCount(name: MetricName, labels: MetricLabels, count: number): void {
    this.#getCounters(name).get(toLabelValues(name, labels)).count += count;
  }

  /**
   * Reads a counter.
   *
   * @param name - name of a counter
   * @param labels - values of the labels that the metric declares
   * @returns the count; 0 if the series does not exist
   */
  getCount(name: MetricName, labels: MetricLabels): number {
    return this.#counters.get(name)?.find(toLabelValues(name, labels))?.count ?? 0;
  }

  /**
   * Records a duration.
   *
   * @param name - name of a summary
   * @param labels - values of the labels that the metric declares
   * @param durationMs - duration in milliseconds
   */
  recordDuration(name: MetricName, labels: MetricLabels, durationMs: number): void {
    this.#getSummaries(name).get(toLabelValues(name, labels)).record(durationMs);
  }

  /**
   * Finds the durations of one series.
   *
   * @param name - name of a summary
   * @param labels - values of the labels that the metric declares
   * @returns the durations, or undefined if none was recorded
   */
  findSummary(name: MetricName, labels: MetricLabels): DurationSummary | undefined {
    return this.#summaries.get(name)?.find(toLabelValues(name, labels));
  }

  /**
   * Registers a gauge.
   *
   * @param name - name of the gauge
   * @param read - returns the current values; called on each rendering
   */
  registerGauge(name: MetricName, read: () => Iterable<GaugeSample>): void {
    this.#gauges.set(name, read);
  }

  /** @returns all metrics in the Prometheus text format */
  render(): string {
    const lines: string[] = [];
    for (const name of Object.values(MetricName)) {
      for (const line of renderMetric(name, this.#listSamples(name))) lines.push(line);
    }
    return `${lines.join('\n')}\n`;
  }

  #listSamples(name: MetricName): Iterable<PrometheusSample> {
    const gauge = this.#gauges.get(name);
    if (gauge !== undefined) {
      return [...gauge()].map(({ labels, value }) => ({
        values: toLabelValues(name, labels),
        value,
      }));
    }
    if (constants.METRIC_DEFINITIONS[name].kind === MetricKind.Summary) {
      const series = this.#summaries.get(name)?.list() ?? [];
      return [...series].flatMap(({ values, state }) => listSummarySamples(values, state));
    }
    const series = this.#counters.get(name)?.list() ?? [];
    return [...series].map(({ values, state }) => ({ values, value: state.count }));
  }

  #getCounters(name: MetricName): SeriesMap<Counter> {
    const existing = this.#counters.get(name);
    if (existing !== undefined) return existing;
    const limit = constants.COUNTER_SERIES_LIMIT;
    const series = new SeriesMap(limit, () => ({ count: 0 }), this.#createDropCounter(name));
    this.#counters.set(name, series);
    return series;
  }

  #getSummaries(name: MetricName): SeriesMap<DurationSummary> {
    const existing = this.#summaries.get(name);
    if (existing !== undefined) return existing;
    const createSummary = (): DurationSummary => new DurationSummary(this.#clock);
    const limit = constants.SUMMARY_SERIES_LIMIT;
    const series = new SeriesMap(limit, createSummary, this.#createDropCounter(name));
    this.#summaries.set(name, series);
    return series;
  }

  #createDropCounter(name: MetricName): () => void {
    return () => this.addCount(MetricName.DroppedLabels, { metric: name }, 1);
  }
}
