import { writeFileSync } from 'node:fs';

import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { formatTable } from '../../bench/index.js';
import { computeSummaries, deriveLoad, runLoad } from '../../load/index.js';
import { renderReport } from '../../report/index.js';
import { OPTION_SCHEMAS, readOptions } from '../options.js';

import type { ClassSummary, LoadClass, Percentiles } from '../../load/index.js';
import type { OptionValues } from '../options.js';
import type { LabCommand } from '../types.js';

const LOAD_OPTIONS = {
  address: { schema: OPTION_SCHEMAS.list, description: 'base addresses, separated by commas' },
  key: {
    schema: OPTION_SCHEMAS.list,
    description: 'workspace keys, the one with the most requests first',
  },
  model: { schema: OPTION_SCHEMAS.text, description: 'model or service (drill-7b)' },
  class: { schema: OPTION_SCHEMAS.text, description: 'class of the requests (query)' },
  seed: { schema: OPTION_SCHEMAS.count, description: 'seed of the plan (1)' },
  durationMs: { schema: OPTION_SCHEMAS.number, description: 'how long requests arrive (10000)' },
  ratePerSecond: { schema: OPTION_SCHEMAS.number, description: 'mean arrival rate (5)' },
  burstFactor: {
    schema: OPTION_SCHEMAS.number,
    description: 'factor on the rate in the middle third (1)',
  },
  workspaceSkew: {
    schema: OPTION_SCHEMAS.number,
    description: 'Zipf exponent of the workspace shares (1)',
  },
  promptTokens: {
    schema: OPTION_SCHEMAS.number,
    description: 'median prompt length in tokens (300)',
  },
  answerTokens: {
    schema: OPTION_SCHEMAS.number,
    description: 'median answer length in tokens (40)',
  },
  spread: {
    schema: OPTION_SCHEMAS.number,
    description: 'standard deviation of the logarithm of lengths (0.5)',
  },
  firstTokenTargetMs: { schema: OPTION_SCHEMAS.number, description: 'first-token target (1200)' },
  tokenIntervalTargetMs: {
    schema: OPTION_SCHEMAS.number,
    description: 'token interval target (78)',
  },
  report: { schema: OPTION_SCHEMAS.text, description: 'HTML file to write plots to' },
  patienceMs: {
    schema: OPTION_SCHEMAS.number,
    description: 'time after which callers abort a request (60000)',
  },
} as const;

type LoadOptions = OptionValues<typeof LOAD_OPTIONS>;

const MAX_TO_MEDIAN_RATIO = 5;
const SHARED_FRACTION = 0.5;

const createLength = (median: number, spread: number) => ({
  median,
  spread,
  maximum: Math.round(median * MAX_TO_MEDIAN_RATIO),
});

const buildClass = (options: LoadOptions, durationMs: number): LoadClass => {
  const { burstFactor = 1, spread = 0.5 } = options;
  const burst = { fromMs: durationMs / 3, untilMs: (durationMs * 2) / 3, factor: burstFactor };
  return {
    name: options.class ?? 'query',
    model: options.model ?? 'drill-7b',
    isPaying: true,
    ratePerSecond: options.ratePerSecond ?? 5,
    bursts: burstFactor === 1 ? [] : [burst],
    keys: options.key ?? [''],
    workspaceSkew: options.workspaceSkew ?? 1,
    promptTokens: createLength(options.promptTokens ?? 300, spread),
    answerTokens: createLength(options.answerTokens ?? 40, spread),
    sharedFraction: SHARED_FRACTION,
    firstTokenTargetMs: options.firstTokenTargetMs ?? 1_200,
    tokenIntervalTargetMs: options.tokenIntervalTargetMs ?? 78,
    timeoutMs: options.patienceMs ?? 60_000,
  };
};

const formatRow = (name: string, { p50, p95, p99 }: Percentiles) => [name, p50, p95, p99];

const formatSummary = (summary: ClassSummary): readonly string[] =>
  formatTable({
    title: `Class ${summary.className}, times in ms from the planned send`,
    columns: ['figure', 'p50', 'p95', 'p99'],
    rows: [
      formatRow('first token', summary.firstTokenMs),
      formatRow('token interval', summary.tokenIntervalMs),
    ],
  });

/** The subcommand that sends a load and prints a summary of its results. */
export const LOAD_COMMAND: LabCommand = {
  name: 'load',
  description: 'Send a seeded open-loop load and print figures',
  options: LOAD_OPTIONS,
  run: async (flags) => {
    const options = readOptions('load', LOAD_OPTIONS, flags);
    if (options.address === undefined) {
      throw new SardinegradeError(
        ResultCode.SettingInvalid,
        '--address: a base address is required',
      );
    }
    const { seed = 1, durationMs = 10_000 } = options;
    const classes = [buildClass(options, durationMs)];
    const plan = deriveLoad({ seed, durationMs, classes });
    const results = await runLoad(plan, { addresses: options.address });
    const summaries = computeSummaries(classes, results);
    if (options.report !== undefined) {
      const runs = [{ label: 'load', results }];
      writeFileSync(
        options.report,
        renderReport({ title: `load, seed ${seed}`, tables: [], runs }),
      );
    }
    const lines = [...summaries.flatMap(formatSummary), JSON.stringify({ seed, summaries })];
    process.stdout.write(`${lines.join('\n')}\n`);
  },
};
