import { METRIC_DEFINITIONS } from './constants.js';

import type { MetricName } from './enums.js';
import type { LabelValues } from './SeriesMap.js';

const escapeValue = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('\n', '\\n').replaceAll('"', '\\"');

const formatLabels = (labelNames: readonly string[], values: LabelValues): string => {
  if (labelNames.length === 0) return '';
  const pairs = labelNames.map((name, index) => `${name}="${escapeValue(values[index] ?? '')}"`);
  return `{${pairs.join(',')}}`;
};

/** One sample line of the output. */
export interface PrometheusSample {
  /** Suffix of the metric name, such as `_sum`. */
  readonly suffix?: string;
  /** A label in addition to the declared ones, such as `quantile`. */
  readonly extraLabel?: readonly [name: string, value: string];
  readonly values: LabelValues;
  readonly value: number;
}

/**
 * Renders one metric in the Prometheus text format.
 *
 * @param name - name of the metric
 * @param samples - current samples of the metric
 * @returns HELP, TYPE and sample lines; empty if there are no samples
 */
export const renderMetric = (
  name: MetricName,
  samples: Iterable<PrometheusSample>,
): readonly string[] => {
  const definition = METRIC_DEFINITIONS[name];
  const lines: string[] = [];
  for (const { suffix = '', extraLabel, values, value } of samples) {
    const labelNames =
      extraLabel === undefined ? definition.labels : [...definition.labels, extraLabel[0]];
    const labelValues = extraLabel === undefined ? values : [...values, extraLabel[1]];
    lines.push(`${name}${suffix}${formatLabels(labelNames, labelValues)} ${value}`);
  }
  if (lines.length === 0) return [];
  return [`# HELP ${name} ${definition.help}`, `# TYPE ${name} ${definition.kind}`, ...lines];
};
