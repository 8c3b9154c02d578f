/** Timer that expires when a worker has sent nothing for a time. */
export class SilenceTimer {
  #timer: NodeJS.Timeout | undefined;
  #timeoutMs: number | undefined;

  /**
   * Starts or restarts the timer. It is called for each chunk with a complete event, mostly with the same timeout.
   *
   * @param timeoutMs - time until it expires, in milliseconds
   * @param onExpired - called when it expires; a start with the same timeout keeps the previous callback
   */
  start(timeoutMs: number, onExpired: () => void): void {
    if (this.#timer !== undefined && this.#timeoutMs === timeoutMs) {
      this.#timer.refresh();
      return;
    }
    clearTimeout(this.#timer);
    this.#timeoutMs = timeoutMs;
    this.#timer = setTimeout(onExpired, timeoutMs);
  }

  /** Stops the timer. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }
}
