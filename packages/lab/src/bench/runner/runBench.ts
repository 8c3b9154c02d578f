import { formatTable } from './formatTable.js';

import type { Bench, BenchOutcome, BenchTable } from './types.js';

/** What became of a bench that was run. */
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
 * Lists the tables of a bench, with the one of its targets.
 *
 * @param outcome - what the bench found
 * @returns the tables in the order in which they are shown
 */
export const listTables = (outcome: BenchOutcome): readonly BenchTable[] =>
  outcome.targets.length === 0 ? outcome.tables : [...outcome.tables, buildTargetTable(outcome)];

/**
 * Runs a bench and prints its tables, and as the last line one JSON object.
 *
 * @param bench - the bench
 * @param seed - the seed of its chances
 * @param print - prints a line on standard output
 * @param report - prints a line of progress
 * @returns what the bench found, and whether every target was met
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
