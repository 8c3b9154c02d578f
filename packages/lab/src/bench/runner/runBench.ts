import { formatTable } from './formatTable.js';

import type { Bench, BenchOutcome } from './types.js';

const listTargets = (outcome: BenchOutcome): readonly string[] =>
  outcome.targets.length === 0
    ? []
    : formatTable({
        title: 'Targets',
        columns: ['name', 'bound', 'figure', 'met'],
        rows: outcome.targets.map(({ name, bound, figure, met }) => [
          name,
          bound,
          figure,
          met ? 'yes' : 'NO',
        ]),
      });

/**
 * Runs a bench and prints its tables, and as the last line one JSON object.
 *
 * @param bench - the bench
 * @param seed - the seed of its chances
 * @param print - prints a line on standard output
 * @param report - prints a line of progress
 * @returns whether every target was met
 */
export const runBench = async (
  bench: Bench,
  seed: number,
  print: (line: string) => void,
  report: (line: string) => void,
): Promise<boolean> => {
  const outcome = await bench.run({ seed, report });
  for (const table of outcome.tables) for (const line of formatTable(table)) print(line);
  for (const line of listTargets(outcome)) print(line);
  const ok = outcome.targets.every(({ met }) => met);
  const { targets, figures } = outcome;
  print(JSON.stringify({ bench: bench.name, seed, ok, targets, figures }));
  return ok;
};
