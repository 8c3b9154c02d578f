import { formatTable } from './formatTable.js';

import type { Bench, BenchOutcome, BenchTable } from './types.js';

/** The result of a benchmark run. */
export interface BenchRun {
  readonly outcome: BenchOutcome;
  /** Whether every target was met. */
  readonly ok: boolean;
}

const buildTargetTable = ({ targets }: BenchOutcome): BenchTable => ({
  title: 'Targets',
  columns: ['name', 'bound', 'figure', 'met'],
  rows: targets.map(({ name, bound, figure, met }) => [name, bound, figure, met ? 'yes' : 'NO']),
});

/**
 * Lists the tables of a benchmark, followed by the table of its targets if it has any.
 *
 * @param outcome - the results of the benchmark
 * @returns the tables in display order
 */
export const listTables = (outcome: BenchOutcome): readonly BenchTable[] =>
  outcome.targets.length === 0 ? outcome.tables : [...outcome.tables, buildTargetTable(outcome)];

/**
 * Runs a benchmark and prints its tables, then its targets and figures as one line of JSON.
 *
 * @param bench - the benchmark to run
 * @param seed - the seed of its random choices
 * @param print - prints a line of results
 * @param report - prints a progress message
 * @returns the results of the benchmark, and whether every target was met
 */
export const runBench = async (
  bench: Bench,
  seed: number,
  print: (line: string) => void,
  report: (line: string) => void,
): Promise<BenchRun> => {
  const outcome = await bench.run({ seed, report });
  for (const line of listTables(outcome).flatMap(formatTable)) print(line);
  const ok = outcome.targets.every(({ met }) => met);
  const { targets, figures } = outcome;
  print(JSON.stringify({ bench: bench.name, seed, ok, targets, figures }));
  return { outcome, ok };
};
