/** Pause after a failure, in milliseconds. */
const FAILURE_PAUSE_MS = 500;

/** A step that is run again and again: never twice at the same time, and after a failure only once a pause has passed. */
export class PacedStep {
  #isRunning = false;
  #resumeAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param perform - performs the step and returns whether it succeeded; it does not reject
   * @param getNowMs - reads a monotonic clock, in milliseconds
   */
  constructor(
    private readonly perform: () => Promise<boolean>,
    private readonly getNowMs: () => number,
  ) {}

  /** Runs the step if it is due; resolves when it has ended. */
  async run(): Promise<void> {
    if (this.#isRunning || this.getNowMs() < this.#resumeAtMs) return;
    this.#isRunning = true;
    try {
      const isSuccess = await this.perform();
      if (!isSuccess) this.#resumeAtMs = this.getNowMs() + FAILURE_PAUSE_MS;
    } finally {
      this.#isRunning = false;
    }
  }
}
