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

const toValues = (name: MetricName, labels: MetricLabels): LabelValues =>
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

/** The state of all counters, summaries and gauges. */
export class MetricStore {
  readonly #clock: Clock;
  readonly #counters = new Map<MetricName, SeriesMap<Counter>>();
  readonly #summaries = new Map<MetricName, SeriesMap<DurationSummary>>();
  readonly #gauges = new Map<MetricName, () => Iterable<GaugeSample>>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Adds to a counter.
   *
   * @param name - the metric
   * @param labels - the labels that the metric declares
   * @param count - how much to add
   */
  addCount(name: MetricName, labels: MetricLabels, count: number): void {
    this.#getCounters(name).get(toValues(name, labels)).count += count;
  }

  /**
   * Reads a counter.
   *
   * @param name - the metric
   * @param labels - the labels that the metric declares
   * @returns its count, 0 where nothing was counted
   */
  getCount(name: MetricName, labels: MetricLabels): number {
    return this.#counters.get(name)?.find(toValues(name, labels))?.count ?? 0;
  }

  /**
   * Records a duration.
   *
   * @param name - a summary
   * @param labels - the labels that the metric declares
   * @param durationMs - the duration
   */
  recordDuration(name: MetricName, labels: MetricLabels, durationMs: number): void {
    this.#getSummaries(name).get(toValues(name, labels)).record(durationMs);
  }

  /**
   * Finds the durations of one series.
   *
   * @param name - a summary
   * @param labels - the labels that the metric declares
   * @returns the series, or undefined where nothing was recorded
   */
  findSummary(name: MetricName, labels: MetricLabels): DurationSummary | undefined {
    return this.#summaries.get(name)?.find(toValues(name, labels));
  }

  /**
   * Registers a gauge.
   *
   * @param name - the metric
   * @param read - reads its present values
   */
  registerGauge(name: MetricName, read: () => Iterable<GaugeSample>): void {
    this.#gauges.set(name, read);
  }

  /** @returns all metrics as Prometheus text */
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
      return [...gauge()].map(({ labels, value }) => ({ values: toValues(name, labels), value }));
    }
    if (constants.METRIC_DEFINITIONS[name].kind === MetricKind.Summary) {
      const series = this.#summaries.get(name)?.list() ?? [];
      return [...series].flatMap(({ values, state }) => listSummarySamples(values, state));
    }
    const series = this.#counters.get(name)?.list() ?? [];
    return [...series].map(({ values, state }) => ({ values, value: state.count }));
  }

  #getCounters(name: MetricName): SeriesMap<Counter> {
    const known = this.#counters.get(name);
    if (known !== undefined) return known;
    const limit = constants.COUNTER_SERIES_LIMIT;
    const series = new SeriesMap(limit, () => ({ count: 0 }), this.#createDropCounter(name));
    this.#counters.set(name, series);
    return series;
  }

  #getSummaries(name: MetricName): SeriesMap<DurationSummary> {
    const known = this.#summaries.get(name);
    if (known !== undefined) return known;
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
