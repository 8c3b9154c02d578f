import type { RequestResult } from '../load/index.js';

/** The results of one run and its label in the charts, such as the dispatch policy. */
export interface LabelledRun {
  readonly label: string;
  readonly results: readonly RequestResult[];
}

/** A table of a report; numbers are rounded to four decimals. */
export interface ReportTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** The content of a report. */
export interface ReportContent {
  readonly title: string;
  readonly tables: readonly ReportTable[];
  readonly runs: readonly LabelledRun[];
}
