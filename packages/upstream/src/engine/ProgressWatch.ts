const SWEEP_INTERVAL_MS = 50;

/** Something that has to make progress before its deadline. */
export interface Watched {
  /** Milliseconds since the epoch; infinite while no progress is due. */
  deadlineAtMs: number;
  readonly onOverdue: () => void;
}

/** Checks the progress deadlines of many streams with a single timer. */
export class ProgressWatch {
  readonly #watched = new Set<Watched>();
  readonly #getNowMs: () => number;
  #timer: NodeJS.Timeout | undefined;

  constructor(getNowMs: () => number) {
    this.#getNowMs = getNowMs;
  }

  readonly add = (watched: Watched): void => {
    this.#watched.add(watched);
    this.#timer ??= setInterval(this.sweep, SWEEP_INTERVAL_MS);
  };

  readonly remove = (watched: Watched): void => {
    this.#watched.delete(watched);
    if (this.#watched.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  };

  /** Reports every stream whose deadline has passed. */
  readonly sweep = (): void => {
    const nowMs = this.#getNowMs();
    for (const watched of this.#watched) {
      if (watched.deadlineAtMs > nowMs) continue;
      watched.deadlineAtMs = Number.POSITIVE_INFINITY;
      watched.onOverdue();
    }
  };
}
