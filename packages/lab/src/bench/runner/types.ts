import type { LabelledRun } from '../../report/index.js';

/** The inputs of a benchmark run. */
export interface BenchOptions {
  readonly seed: number;
  /** Prints a progress message. */
  readonly report: (line: string) => void;
}

/** A table of results. */
export interface BenchTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** A bound on a measured figure, and whether this run met it. */
export interface BenchTarget {
  readonly name: string;
  /** The bound as text, such as `>= 0.99`. */
  readonly bound: string;
  readonly figure: number;
  readonly met: boolean;
}

/** The results of a benchmark. */
export interface BenchOutcome {
  readonly tables: readonly BenchTable[];
  readonly targets: readonly BenchTarget[];
  /** Figures for the JSON line, by name. */
  readonly figures: Readonly<Record<string, unknown>>;
  /** Runs whose requests the HTML report charts. */
  readonly runs?: readonly LabelledRun[];
}

/** A benchmark, selected on the command line by its name. */
export interface Bench {
  readonly name: string;
  readonly description: string;
  readonly run: (options: BenchOptions) => Promise<BenchOutcome>;
}
