/** An engine's load report, in the protocol's JSON format. */
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

const RETENTION_MS = 60_000;

/** Load reports of the last minute, from which a lagging report is served. */
export class LoadHistory {
  private readonly samples: LoadSample[] = [];

  record(sample: LoadSample): void {
    this.samples.push(sample);
    while ((this.samples[0]?.at_ms ?? Infinity) < sample.at_ms - RETENTION_MS) this.samples.shift();
  }

  /** Finds the latest report at or before a time, or the oldest one if all are newer. */
  find(atMs: number): LoadSample | undefined {
    return this.samples.findLast((sample) => sample.at_ms <= atMs) ?? this.samples[0];
  }
}
