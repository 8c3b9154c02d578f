interface Watcher {
  readonly kind: string;
  readonly finish: () => void;
}

/** Calls that wait for a change. */
export class Watchers {
  private readonly waiting = new Set<Watcher>();

  /**
   * Waits until the kind changes, the time passes or the signal aborts.
   *
   * @param kind - the kind of object watched
   * @param timeoutMs - the longest wait
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

  /** Wakes the calls that wait for a kind, or all of them. */
  notify(kind?: string): void {
    for (const watcher of [...this.waiting]) {
      if (kind === undefined || watcher.kind === kind) watcher.finish();
    }
  }
}
