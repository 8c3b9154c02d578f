import { setTimeout as sleep } from 'node:timers/promises';

/** How a value is read, and how often. */
export interface SharedReadOptions<Result> {
  readonly perform: () => Promise<Result>;
  /** Shortest time between the starts of two reads, in milliseconds. */
  readonly intervalMs: number;
  readonly getNowMs: () => number;
}

/**
 * Reads a value for all requests that come within an interval at once. Each request gets a read that has started after the
 * request: an earlier one may be of any age where the process was suspended or the answer was slow.
 */
export class SharedRead<Result> {
  #next: Promise<Result> | undefined;
  #startedAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - how the value is read, and how often */
  constructor(private readonly options: SharedReadOptions<Result>) {}

  /** @returns the value, from a read that starts after this call; rejects if the read does */
  read(): Promise<Result> {
    this.#next ??= this.#performNext();
    return this.#next;
  }

  async #performNext(): Promise<Result> {
    const { perform, intervalMs, getNowMs } = this.options;
    const waitMs = this.#startedAtMs + intervalMs - getNowMs();
    await (waitMs > 0 ? sleep(Math.min(waitMs, intervalMs)) : Promise.resolve());
    this.#next = undefined;
    this.#startedAtMs = getNowMs();
    return perform();
  }
}
