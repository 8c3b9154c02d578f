/** The response to an executed call. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Number of executions and last response by idempotency key. */
export class ExecutionLog {
  executions = 0;
  private readonly counts = new Map<string, number>();
  private readonly answers = new Map<string, StoredAnswer>();

  /** Counts an execution and, if it has a key, stores its response. */
  record(key: string | undefined, answer: StoredAnswer): void {
    this.executions += 1;
    if (key === undefined) return;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    this.answers.set(key, answer);
  }

  find(key: string): StoredAnswer | undefined {
    return this.answers.get(key);
  }

  getCountsByKey(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }
}
