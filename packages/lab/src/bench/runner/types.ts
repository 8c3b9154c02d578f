import type { LabelledRun } from '../../report/index.js';

/** How a bench is run. */
export interface BenchOptions {
  readonly seed: number;
  /** Prints a line of progress. */
  readonly report: (line: string) => void;
}

/** A table of figures. */
export interface BenchTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** One target and whether this run met it. */
export interface BenchTarget {
  readonly name: string;
  /** The bound as a reader would write it, such as `>= 0.99`. */
  readonly bound: string;
  readonly figure: number;
  readonly met: boolean;
}

/** What a bench found. */
export interface BenchOutcome {
  readonly tables: readonly BenchTable[];
  readonly targets: readonly BenchTarget[];
  /** Figures for the last line, by name. */
  readonly figures: Readonly<Record<string, unknown>>;
  /** Runs whose requests a report plots. */
  readonly runs?: readonly LabelledRun[];
}

/** A benchmark that can be run by its name. */
export interface Bench {
  readonly name: string;
  readonly description: string;
  readonly run: (options: BenchOptions) => Promise<BenchOutcome>;
}
