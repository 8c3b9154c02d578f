import { rankWaiting, selectTries } from '@sardinegrade/routing';

import type { WaitingRequest } from '@sardinegrade/routing';

/**
 * Least time between two passes over the waiting requests, in milliseconds, and how often they are tried where nothing
 * else happens: an engine reads a long prompt in ten times as long.
 */
const PASS_INTERVAL_MS = 25;

/** A request that waits and can be tried. */
export interface QueuedRequest extends WaitingRequest {
  /** Sends the request if its engine is free; answers whether it needs to wait no longer. */
  readonly tryStart: () => boolean;
  /** Ends the request if it has waited for too long; answers whether it needs to wait no longer. */
  readonly giveUpIfLate: () => boolean;
}

/** The requests of this VM that wait for engines. */
export class RequestQueue {
  readonly #requests = new Set<QueuedRequest>();
  #timer: NodeJS.Timeout | undefined;
  #isInPass = false;
  #lastPassAtMs = Number.NEGATIVE_INFINITY;
  #offset = 0;

  /** @param getNowMs - clock */
  constructor(private readonly getNowMs: () => number) {}

  /** Requests that wait. */
  get size(): number {
    return this.#requests.size;
  }

  /** Adds a request, which was tried before. */
  add(request: QueuedRequest): void {
    this.#requests.add(request);
    this.#schedule();
  }

  /** Removes a request, as when its caller is gone. */
  remove(request: QueuedRequest): void {
    this.#requests.delete(request);
  }

  /** Tries waiting requests in their order, now or as soon as the last pass is long enough ago. */
  retryAll(): void {
    // A request that is sent may end at once and free its engine for another: the loop below goes on with it.
    if (this.#isInPass || this.#requests.size === 0) return;
    if (this.getNowMs() - this.#lastPassAtMs < PASS_INTERVAL_MS) this.#schedule();
    else this.#runPass();
  }

  #runPass(): void {
    this.#isInPass = true;
    this.#lastPassAtMs = this.getNowMs();
    for (const request of [...this.#requests]) {
      if (request.giveUpIfLate()) this.#requests.delete(request);
    }
    const ranked = rankWaiting([...this.#requests], this.#lastPassAtMs);
    const { requests, nextOffset } = selectTries(ranked, this.#offset);
    this.#offset = nextOffset;
    for (const request of requests) {
      if (this.#requests.has(request) && request.tryStart()) this.#requests.delete(request);
    }
    this.#isInPass = false;
    this.#schedule();
  }

  #schedule(): void {
    if (this.#timer !== undefined || this.#requests.size === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      if (this.#requests.size > 0) this.#runPass();
    }, PASS_INTERVAL_MS);
  }
}
