import { CallerOutcome } from '../../load/index.js';

import type { ClassSummary } from '../../load/index.js';
import type { LabelledRun } from '../../report/index.js';
import type { BenchTable } from '../runner/index.js';
import type { ScenarioResult } from './runScenario.js';

const COLUMNS = [
  'policy, class',
  'requests',
  'attained',
  'first p50',
  'first p95',
  'interval p95',
  'whole',
  'refused',
  'failed',
  'cut',
  'given up',
  'wrong',
  'good tokens',
] as const;

const buildRow = (policy: string, summary: ClassSummary): readonly (string | number)[] => [
  `${policy}, ${summary.className}`,
  summary.requests,
  summary.attainment,
  summary.firstTokenMs.p50,
  summary.firstTokenMs.p95,
  summary.tokenIntervalMs.p95,
  summary.outcomes[CallerOutcome.Complete],
  summary.outcomes[CallerOutcome.Refused],
  summary.outcomes[CallerOutcome.Failed] + summary.outcomes[CallerOutcome.Unreachable],
  summary.outcomes[CallerOutcome.Truncated],
  summary.outcomes[CallerOutcome.TimedOut],
  summary.outcomes[CallerOutcome.Wrong],
  summary.goodTokens,
];

/**
 * Builds a table with one row per policy and class.
 *
 * @param scenarios - the results of each policy
 * @returns the table; times are in milliseconds
 */
export const buildClassTable = (scenarios: readonly ScenarioResult[]): BenchTable => ({
  title: 'By class (times in ms from the planned send)',
  columns: COLUMNS,
  rows: scenarios.flatMap(({ policy, summaries }) =>
    summaries.map((summary) => buildRow(policy, summary)),
  ),
});

/**
 * Computes the combined attainment of all paying classes.
 *
 * @param scenario - the results of a policy
 * @returns the share of paying requests that met both targets, 0 to 1; 1 if there were none
 */
export const computePayingAttainment = (scenario: ScenarioResult): number => {
  const paying = scenario.summaries.filter(({ isPaying }) => isPaying);
  const requests = paying.reduce((sum, summary) => sum + summary.requests, 0);
  const met = paying.reduce((sum, summary) => sum + summary.attainment * summary.requests, 0);
  return requests === 0 ? 1 : met / requests;
};

/**
 * Counts the requests of all classes that had an outcome.
 *
 * @param scenario - the results of a policy
 * @param outcome - the outcome to count
 * @returns the number of requests
 */
export const countOutcome = (scenario: ScenarioResult, outcome: CallerOutcome): number =>
  scenario.summaries.reduce((sum, summary) => sum + summary.outcomes[outcome], 0);

/** Counts the requests without a complete answer by class, outcome and result code. */
const countFailures = (scenario: ScenarioResult): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { request, outcome, code } of scenario.results) {
    if (outcome === CallerOutcome.Complete) continue;
    const key = `${request.loadClass.name} ${outcome} ${code ?? 'no code'}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
};

/**
 * Builds the figures of a policy's run for the JSON line of a benchmark.
 *
 * @param scenario - the results of the policy
 * @returns figures by name
 */
export const describeScenario = (scenario: ScenarioResult): Readonly<Record<string, unknown>> => ({
  paying_attainment: computePayingAttainment(scenario),
  attainment: Object.fromEntries(
    scenario.summaries.map(({ className, attainment }) => [className, attainment]),
  ),
  engine_tokens: scenario.engineTokens,
  wasted_part: scenario.wastedPart,
  false_not_run: scenario.falseNotRun,
  engine_crashes: scenario.engineCrashes,
  not_whole: countFailures(scenario),
});

/**
 * Labels runs with their policy, for the charts of a report.
 *
 * @param scenarios - the results of each policy
 * @returns the labelled runs
 */
export const toLabelledRuns = (scenarios: readonly ScenarioResult[]): readonly LabelledRun[] =>
  scenarios.map(({ policy, results }) => ({ label: policy, results }));
