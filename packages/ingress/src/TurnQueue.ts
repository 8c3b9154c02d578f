/**
 * Lets costly work take turns: one piece of it in each iteration of the event loop, so that timers and other connections are
 * served between them.
 */
export class TurnQueue {
  readonly #waiting = new Set<() => void>();
  #isScheduled = false;
  #iteration = 0;

  /** Number of the current iteration of the event loop, as far as this queue has counted them. */
  get iteration(): number {
    this.#schedule();
    return this.#iteration;
  }

  /**
   * Adds a piece of work, once until it has run.
   *
   * @param run - called when it is its turn
   */
  add(run: () => void): void {
    this.#waiting.add(run);
    this.#schedule();
  }

  /** Removes a piece of work that is no longer needed. */
  remove(run: () => void): void {
    this.#waiting.delete(run);
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#iteration += 1;
      const [run] = this.#waiting;
      if (run === undefined) return;
      this.#waiting.delete(run);
      if (this.#waiting.size > 0) this.#schedule();
      run();
    });
  }
}
