import type { RequestResult } from '../load/index.js';

/** The results of one run under one label, such as a policy. */
export interface LabelledRun {
  readonly label: string;
  readonly results: readonly RequestResult[];
}

/** A table of a report. */
export interface ReportTable {
  readonly title: string;
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
}

/** What a report shows. */
export interface ReportContent {
  readonly title: string;
  readonly tables: readonly ReportTable[];
  readonly runs: readonly LabelledRun[];
}
