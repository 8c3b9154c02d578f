/** An engine's report of its load. */
export interface LoadSample {
  readonly at_ms: number;
  readonly running: number;
  readonly queued: number;
  readonly paused: number;
  readonly slots: number;
  readonly cache_use: number;
  readonly token_interval_ms: number;
  readonly leaving: boolean;
}

const KEEP_MS = 60_000;

/** Load reports as they were at each time, so that they can be shown with a lag. */
export class LoadHistory {
  private readonly samples: LoadSample[] = [];

  record(sample: LoadSample): void {
    this.samples.push(sample);
    while ((this.samples[0]?.at_ms ?? Infinity) < sample.at_ms - KEEP_MS) this.samples.shift();
  }

  /** Finds the report as it stood at a time; the oldest kept where there is none that old. */
  find(atMs: number): LoadSample | undefined {
    return this.samples.findLast((sample) => sample.at_ms <= atMs) ?? this.samples[0];
  }
}
