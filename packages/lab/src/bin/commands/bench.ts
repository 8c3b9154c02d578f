import { writeFileSync } from 'node:fs';

import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { BENCHES, listTables, runBench } from '../../bench/index.js';
import { renderReport } from '../../report/index.js';
import { OPTION_SCHEMAS, readOptions } from '../options.js';

import type { LabCommand } from '../types.js';

const BENCH_OPTIONS = {
  seed: { schema: OPTION_SCHEMAS.count, description: 'seed of all random draws (1)' },
  report: { schema: OPTION_SCHEMAS.text, description: 'HTML file to write tables and plots to' },
} as const;

const DEFAULT_SEED = 1;
const FAILED_EXIT_CODE = 1;

const writeLine = (stream: NodeJS.WriteStream) => (line: string) => {
  stream.write(`${line}\n`);
};

const describeBenches = (): string =>
  BENCHES.map(({ name, description }) => `  ${name.padEnd(12)} ${description}`).join('\n');

/** The subcommand that runs a benchmark. */
export const BENCH_COMMAND: LabCommand = {
  name: 'bench',
  positionals: '[name]',
  description: 'Run a benchmark; without a name, list them',
  options: BENCH_OPTIONS,
  run: async (flags, [name]) => {
    const { seed = DEFAULT_SEED, report } = readOptions('bench', BENCH_OPTIONS, flags);
    const print = writeLine(process.stdout);
    if (name === undefined) {
      print(`Benches:\n${describeBenches()}`);
      return;
    }
    const bench = BENCHES.find((candidate) => candidate.name === name);
    if (bench === undefined) {
      const known = BENCHES.map((candidate) => candidate.name).join(', ');
      throw new SardinegradeError(
        ResultCode.SettingInvalid,
        `Unknown benchmark '${name}'; available: ${known}.`,
      );
    }
    const { outcome, ok } = await runBench(bench, seed, print, writeLine(process.stderr));
    if (report !== undefined) {
      const title = `${bench.name}, seed ${seed}`;
      const { runs = [] } = outcome;
      writeFileSync(report, renderReport({ title, tables: listTables(outcome), runs }));
    }
    if (!ok) process.exitCode = FAILED_EXIT_CODE;
  },
};
