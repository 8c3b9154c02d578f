import { METRIC_DEFINITIONS } from './constants.js';

import type { MetricName } from './enums.js';
import type { LabelValues } from './SeriesMap.js';

const escapeValue = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('\n', '\\n').replaceAll('"', '\\"');

const formatLabels = (names: readonly string[], values: LabelValues): string => {
  if (names.length === 0) return '';
  const pairs = names.map((name, index) => `${name}="${escapeValue(values[index] ?? '')}"`);
  return `{${pairs.join(',')}}`;
};

/** One line of output. */
export interface PrometheusSample {
  /** Added to the metric's name, such as `_sum`. */
  readonly suffix?: string;
  /** A label besides those of the metric, such as the quantile. */
  readonly extraLabel?: readonly [name: string, value: string];
  readonly values: LabelValues;
  readonly value: number;
}

/**
 * Renders one metric as Prometheus text.
 *
 * @param name - the metric
 * @param samples - its lines
 * @returns help, type and samples; nothing where there are none
 */
export const renderMetric = (
  name: MetricName,
  samples: Iterable<PrometheusSample>,
): readonly string[] => {
  const definition = METRIC_DEFINITIONS[name];
  const lines: string[] = [];
  for (const { suffix = '', extraLabel, values, value } of samples) {
    const names =
      extraLabel === undefined ? definition.labels : [...definition.labels, extraLabel[0]];
    const all = extraLabel === undefined ? values : [...values, extraLabel[1]];
    lines.push(`${name}${suffix}${formatLabels(names, all)} ${value}`);
  }
  if (lines.length === 0) return [];
  return [`# HELP ${name} ${definition.help}`, `# TYPE ${name} ${definition.kind}`, ...lines];
};
