import { createRandomSource } from '@sardinegrade/dispatch';

import { computeRetryAfterMs, shouldRefuse, shouldRefuseOnArrival } from '../refusal/index.js';
import { rankWaiting } from '../waiting/index.js';

import type { RandomSource } from '@sardinegrade/dispatch';
import type { Route } from '../configuration/index.js';
import type { WaitingTimes } from '../refusal/index.js';
import type { WaitingRequest } from '../waiting/index.js';

/** Results of a replay. */
export interface RefusalCount {
  readonly sent: number;
  /** Requests that ended before their deadline. */
  readonly served: number;
  readonly refusals: number;
}

interface Caller {
  readonly deadlineMs: number;
  readonly prefillMs: number;
}

interface Attempt extends WaitingRequest {
  readonly caller: Caller;
}

const STEP_MS = 5;

/** Time from the first event to the end, in milliseconds. */
const STREAM_MS = 1_000;

/** Simulates callers that return after refusals to a queue in front of one engine. */
export class RefusalSimulation {
  readonly #random: RandomSource;
  #pending: Attempt[] = [];
  #queue: Attempt[] = [];
  #freeAtMs = 0;
  #served = 0;
  #refusals = 0;

  /**
   * @param route - route of all requests
   * @param isEarly - whether requests are refused on arrival, with the time until the queue is empty, and go first afterwards
   * @param seed - seed of arrivals and retry times
   */
  constructor(
    private readonly route: Route,
    private readonly isEarly: boolean,
    seed: number,
  ) {
    this.#random = createRandomSource(seed);
  }

  /**
   * Replays a burst.
   *
   * @param burstMs - time in which requests arrive
   * @param load - their prefill time, as a multiple of the time
   * @param prefillMs - mean prefill time of a request, in milliseconds
   * @returns the counters
   */
  run(burstMs: number, load: number, prefillMs: number): RefusalCount {
    const sent = Math.round((burstMs * load) / prefillMs);
    this.#pending = Array.from({ length: sent }, () => {
      const arrivedAtMs = this.#random() * burstMs;
      const deadlineMs = arrivedAtMs + this.route.timeoutMs;
      const caller = { deadlineMs, prefillMs: prefillMs * (0.5 + this.#random()) };
      return this.#buildAttempt(caller, arrivedAtMs, false);
    });
    for (let nowMs = 0; nowMs < burstMs + 2 * this.route.timeoutMs; nowMs += STEP_MS)
      this.#step(nowMs);
    return { sent, served: this.#served, refusals: this.#refusals };
  }

  #buildAttempt(caller: Caller, arrivedAtMs: number, hasReturned: boolean): Attempt {
    const dueAtMs = arrivedAtMs + this.route.targetMs;
    const { prefillMs } = caller;
    return { caller, arrivedAtMs, dueAtMs, prefillMs, priority: this.route.priority, hasReturned };
  }

  #getQueuedMs(nowMs: number): number {
    const queuedMs = this.#queue.reduce((sum, { prefillMs }) => sum + prefillMs, 0);
    return queuedMs + Math.max(0, this.#freeAtMs - nowMs);
  }

  #step(nowMs: number): void {
    const arriving = this.#pending.filter(({ arrivedAtMs }) => arrivedAtMs <= nowMs);
    this.#pending = this.#pending.filter(({ arrivedAtMs }) => arrivedAtMs > nowMs);
    for (const attempt of arriving) {
      const times = this.#buildTimes(attempt, nowMs);
      const waitMs = attempt.hasReturned === true ? 0 : this.#getQueuedMs(nowMs);
      if (this.isEarly && shouldRefuseOnArrival(this.route, waitMs, times))
        this.#refuse(attempt, nowMs);
      else this.#queue.push(attempt);
    }
    for (const attempt of [...this.#queue]) {
      if (!shouldRefuse(this.route, this.#buildTimes(attempt, nowMs))) continue;
      this.#queue.splice(this.#queue.indexOf(attempt), 1);
      this.#refuse(attempt, nowMs);
    }
    if (this.#freeAtMs > nowMs) return;
    const [next] = rankWaiting(this.#queue, nowMs);
    if (next === undefined) return;
    this.#queue.splice(this.#queue.indexOf(next), 1);
    this.#freeAtMs = nowMs + next.prefillMs;
    if (this.#freeAtMs + STREAM_MS <= next.caller.deadlineMs) this.#served += 1;
  }

  #buildTimes({ caller, arrivedAtMs, prefillMs }: Attempt, nowMs: number): WaitingTimes {
    const waitedMs = nowMs - arrivedAtMs;
    return { waitedMs, remainingMs: caller.deadlineMs - nowMs, prefillMs, streamMs: STREAM_MS };
  }

  #refuse({ caller }: Attempt, nowMs: number): void {
    this.#refusals += 1;
    const remainingMs = caller.deadlineMs - nowMs;
    const drainMs = this.isEarly ? this.#getQueuedMs(nowMs) : undefined;
    const returnAtMs = nowMs + computeRetryAfterMs(remainingMs, this.#random, drainMs);
    if (returnAtMs + caller.prefillMs + STREAM_MS <= caller.deadlineMs)
      this.#pending.push(this.#buildAttempt(caller, returnAtMs, this.isEarly));
  }
}
