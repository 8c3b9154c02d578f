import { PREFILL_TOKENS_PER_MS, rankWaiting, selectTries } from '@sardinegrade/routing';

import type { WaitingLoad, WaitingRequest } from '@sardinegrade/routing';

/**
 * Minimum interval between two passes over the queue, in milliseconds, and the interval at which queued requests are
 * tried if no event triggers a pass earlier. Prefill of a long prompt takes ten times as long.
 */
const PASS_INTERVAL_MS = 25;

/** A queued request with the callbacks that start or refuse it. */
export interface QueuedRequest extends WaitingRequest {
  /** Sends the request if an engine accepts it. Returns whether the request leaves the queue. */
  readonly tryStart: () => boolean;
  /**
   * Refuses the request if it has waited for too long or can no longer complete before its deadline. Returns whether the
   * request leaves the queue.
   */
  readonly refuseIfExpired: () => boolean;
}

/** Queue of this VM's requests that wait for engines. */
export class RequestQueue {
  readonly #requests = new Set<QueuedRequest>();
  #timer: NodeJS.Timeout | undefined;
  #isInPass = false;
  #lastPassAtMs = Number.NEGATIVE_INFINITY;
  #offset = 0;

  /** @param getNowMs - reads a monotonic clock, in milliseconds */
  constructor(private readonly getNowMs: () => number) {}

  /** Number of queued requests. */
  get size(): number {
    return this.#requests.size;
  }

  /** Queued requests and their prompt tokens. */
  get waiting(): WaitingLoad {
    let prefillMs = 0;
    for (const request of this.#requests) prefillMs += request.prefillMs;
    return { requests: this.#requests.size, promptTokens: prefillMs * PREFILL_TOKENS_PER_MS };
  }

  /** @returns number of queued requests that are at least as urgent as one with this priority rank */
  countAhead(priority: number): number {
    let count = 0;
    for (const request of this.#requests) if (request.priority <= priority) count += 1;
    return count;
  }

  /** Adds a request that could not be started immediately. */
  add(request: QueuedRequest): void {
    this.#requests.add(request);
    this.#schedule();
  }

  /** Removes a request, for example because its caller has left. */
  remove(request: QueuedRequest): void {
    this.#requests.delete(request);
  }

  /** Tries the queued requests in order, now or as soon as the minimum interval since the last pass has elapsed. */
  retryAll(): void {
    // A request that is started may end immediately and call this again. The pass in progress then continues.
    if (this.#isInPass || this.#requests.size === 0) return;
    if (this.getNowMs() - this.#lastPassAtMs < PASS_INTERVAL_MS) this.#schedule();
    else this.#runPass();
  }

  #runPass(): void {
    this.#isInPass = true;
    try {
      this.#tryQueued();
    } finally {
      this.#isInPass = false;
      this.#schedule();
    }
  }

  #tryQueued(): void {
    this.#lastPassAtMs = this.getNowMs();
    for (const request of [...this.#requests]) {
      if (request.refuseIfExpired()) this.#requests.delete(request);
    }
    const ranked = rankWaiting([...this.#requests], this.#lastPassAtMs);
    const { requests, nextOffset } = selectTries(ranked, this.#offset);
    this.#offset = nextOffset;
    for (const request of requests) {
      if (this.#requests.has(request) && request.tryStart()) this.#requests.delete(request);
    }
  }

  #schedule(): void {
    if (this.#timer !== undefined || this.#requests.size === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#requests.size > 0) this.#runPass();
    }, PASS_INTERVAL_MS);
  }
}
