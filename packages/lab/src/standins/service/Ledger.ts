/** The answer to an execution. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Executions by key, with their last answers. */
export class Ledger {
  executions = 0;
  private readonly counts = new Map<string, number>();
  private readonly answers = new Map<string, StoredAnswer>();

  /** Carries a call out. */
  execute(key: string | undefined, answer: StoredAnswer): void {
    this.executions += 1;
    if (key === undefined) return;
    this.counts.set(key, (this.counts.get(key) ?? 0) + 1);
    this.answers.set(key, answer);
  }

  find(key: string): StoredAnswer | undefined {
    return this.answers.get(key);
  }

  describe(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.counts);
  }
}
