/** Interval between log lines of the same kind, in milliseconds. */
const LOG_INTERVAL_MS = 60_000;

/** Limits log lines of one kind to one a minute, and counts the others. */
export class LogLimit {
  readonly #lines = new Map<string, { loggedAtMs: number; count: number }>();

  /** @param getNowMs - reads a monotonic clock, in milliseconds */
  constructor(private readonly getNowMs: () => number) {}

  /**
   * Records an event.
   *
   * @param kind - kind of the log line
   * @returns the number of events since the last line if a line is due; undefined otherwise
   */
  record(kind: string): number | undefined {
    const nowMs = this.getNowMs();
    const line = this.#lines.get(kind) ?? { loggedAtMs: Number.NEGATIVE_INFINITY, count: 0 };
    const count = line.count + 1;
    const isDue = nowMs - line.loggedAtMs >= LOG_INTERVAL_MS;
    this.#lines.set(kind, isDue ? { loggedAtMs: nowMs, count: 0 } : { ...line, count });
    return isDue ? count : undefined;
  }
}
