import { init } from 'echarts';

import { CallerOutcome } from '../load/index.js';
import { countByOutcome, deriveAttainmentCurve, deriveFirstTokenCurve } from './series.js';

import type { EChartsOption } from 'echarts';
import type { RequestResult } from '../load/index.js';
import type { Point } from './series.js';
import type { LabelledRun } from './types.js';

const WIDTH_PX = 900;
const HEIGHT_PX = 340;
const ATTAINMENT_STEP_MS = 1_000;

interface RunGroup {
  readonly name: string;
  readonly results: readonly RequestResult[];
}

interface CurvePlot {
  readonly title: string;
  readonly xName: string;
  readonly xType: 'log' | 'value';
  readonly derive: (results: readonly RequestResult[]) => readonly Point[];
}

/** Groups the results of each run by class. */
const splitRuns = (runs: readonly LabelledRun[]): readonly RunGroup[] =>
  runs.flatMap(({ label, results }) => {
    const names = [...new Set(results.map(({ request }) => request.loadClass.name))].sort();
    return names.map((name) => ({
      name: `${label}, ${name}`,
      results: results.filter(({ request }) => request.loadClass.name === name),
    }));
  });

const renderSvg = (option: EChartsOption): string => {
  const size = { width: WIDTH_PX, height: HEIGHT_PX };
  const chart = init(null, null, { renderer: 'svg', ssr: true, ...size });
  try {
    chart.setOption({ animation: false, legend: { top: 30 }, ...option });
    return chart.renderToSVGString();
  } finally {
    // A chart that isn't disposed keeps a timer, which prevents the process from exiting.
    chart.dispose();
  }
};

const renderCurves = (runs: readonly LabelledRun[], plot: CurvePlot): string =>
  renderSvg({
    title: { text: plot.title },
    grid: { top: 90, left: 70, right: 30 },
    xAxis: { type: plot.xType, name: plot.xName, nameLocation: 'middle', nameGap: 28 },
    yAxis: { type: 'value', name: '% of requests', min: 0, max: 100 },
    series: splitRuns(runs).map(({ name, results }) => ({
      type: 'line',
      name,
      showSymbol: false,
      data: plot.derive(results).map(([x, y]) => [x, y]),
    })),
  });

/**
 * Renders the cumulative distribution of the time to the first token, by run and class.
 *
 * @param runs - the runs to compare
 * @returns an SVG image
 */
export const renderFirstTokenChart = (runs: readonly LabelledRun[]): string =>
  renderCurves(runs, {
    title: 'Time from the planned send to the first token',
    xName: 'milliseconds',
    xType: 'log',
    derive: deriveFirstTokenCurve,
  });

/**
 * Renders the share of requests that met their targets over time, by run and class.
 *
 * @param runs - the runs to compare
 * @returns an SVG image
 */
export const renderAttainmentChart = (runs: readonly LabelledRun[]): string =>
  renderCurves(runs, {
    title: 'Attainment of both targets by the time of sending',
    xName: 'seconds',
    xType: 'value',
    derive: (results) => deriveAttainmentCurve(results, ATTAINMENT_STEP_MS),
  });

/**
 * Renders the number of requests by outcome, for each run and class.
 *
 * @param runs - the runs to compare
 * @returns an SVG image
 */
export const renderOutcomeChart = (runs: readonly LabelledRun[]): string => {
  const groups = splitRuns(runs).map(({ name, results }) => ({
    name,
    counts: countByOutcome(results),
  }));
  return renderSvg({
    title: { text: 'How requests ended' },
    grid: { top: 90, left: 150, right: 30 },
    xAxis: { type: 'value', name: 'requests', nameLocation: 'middle', nameGap: 28 },
    yAxis: { type: 'category', data: groups.map(({ name }) => name) },
    series: Object.values(CallerOutcome).map((outcome) => ({
      type: 'bar',
      name: outcome,
      stack: 'requests',
      data: groups.map(({ counts }) => counts.get(outcome) ?? 0),
    })),
  });
};
