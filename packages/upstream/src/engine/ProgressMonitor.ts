const SWEEP_INTERVAL_MS = 50;

/** Stream that has to make progress before its deadline. */
export interface MonitoredStream {
  /** Milliseconds since the epoch; infinite while no progress is expected. */
  deadlineAtMs: number;
  readonly onOverdue: () => void;
}

/** Checks the progress deadlines of many streams with a single timer. */
export class ProgressMonitor {
  readonly #streams = new Set<MonitoredStream>();
  readonly #getNowMs: () => number;
  #timer: NodeJS.Timeout | undefined;

  constructor(getNowMs: () => number) {
    this.#getNowMs = getNowMs;
  }

  readonly add = (stream: MonitoredStream): void => {
    this.#streams.add(stream);
    this.#timer ??= setInterval(this.sweep, SWEEP_INTERVAL_MS);
  };

  readonly remove = (stream: MonitoredStream): void => {
    this.#streams.delete(stream);
    if (this.#streams.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  };

  /** Calls `onOverdue` of every stream whose deadline has passed. */
  readonly sweep = (): void => {
    const nowMs = this.#getNowMs();
    for (const stream of this.#streams) {
      if (stream.deadlineAtMs > nowMs) continue;
      stream.deadlineAtMs = Number.POSITIVE_INFINITY;
      stream.onOverdue();
    }
  };
}
