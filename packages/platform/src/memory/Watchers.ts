interface Watcher {
  readonly kind: string;
  readonly finish: () => void;
}

/** Watch calls that wait for a change. */
export class Watchers {
  private readonly waiting = new Set<Watcher>();

  /**
   * Waits until the kind changes, the time passes or the signal aborts.
   *
   * @param kind - kind of the watched objects
   * @param timeoutMs - longest wait, in milliseconds
   * @param signal - ends the wait early
   * @returns a promise that resolves at the first of these
   */
  wait(kind: string, timeoutMs: number, signal: AbortSignal | undefined): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        signal?.removeEventListener('abort', finish);
        this.waiting.delete(watcher);
        resolve();
      };
      const watcher: Watcher = { kind, finish };
      const timer = setTimeout(finish, timeoutMs);
      this.waiting.add(watcher);
      signal?.addEventListener('abort', finish);
    });
  }

  /** Resolves the waiting calls of a kind; those of all kinds if none is given. */
  notify(kind?: string): void {
    for (const watcher of [...this.waiting]) {
      if (kind === undefined || watcher.kind === kind) watcher.finish();
    }
  }
}
