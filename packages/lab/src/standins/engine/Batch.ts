import { AttemptState } from './enums.js';
import { CATCH_UP_STEPS } from './constants.js';

import type { Attempt } from './Attempt.js';

/** Slots and callbacks that the engine passes to its batch. */
export interface BatchOptions {
  readonly slots: number;
  /** Returns the duration of one step, in milliseconds, for a number of running attempts. */
  readonly getStepMs: (running: number) => number;
  /** Called when an attempt gets a slot. Returns the duration of its prefill in milliseconds. */
  readonly onStart: (attempt: Attempt) => number;
  readonly onToken: () => void;
  readonly onFinish: (attempt: Attempt) => void;
}

const compareAttempts = (a: Attempt, b: Attempt): number => a.options.priority - b.options.priority;

/**
 * Simulates continuous batching: each step generates one token for every running attempt and admits
 * queued attempts to the free slots, lowest priority number first.
 */
export class Batch {
  private readonly options: BatchOptions;
  private readonly queue: Attempt[] = [];
  private readonly running = new Set<Attempt>();
  private readonly paused = new Set<Attempt>();
  private timer: NodeJS.Timeout | undefined;
  private stepEndsAtMs = 0;

  constructor(options: BatchOptions) {
    this.options = options;
  }

  get sizes() {
    return {
      running: this.running.size,
      queued: this.queue.length,
      paused: this.paused.size,
    };
  }

  /** Queues an attempt behind those of the same priority. */
  enqueue(attempt: Attempt): void {
    attempt.state = AttemptState.Queued;
    this.queue.push(attempt);
    this.queue.sort(compareAttempts);
    if (this.timer === undefined) this.startStep(performance.now());
  }

  /** Removes an attempt. Returns false if it has already ended. */
  remove(attempt: Attempt): boolean {
    if (attempt.state === AttemptState.Ended) return false;
    this.detach(attempt);
    attempt.state = AttemptState.Ended;
    return true;
  }

  /** Pauses an attempt and frees its slot. Its prompt isn't prefilled again when it resumes. */
  pause(attempt: Attempt): void {
    if (attempt.state === AttemptState.Paused || attempt.state === AttemptState.Ended) return;
    this.detach(attempt);
    attempt.state = AttemptState.Paused;
    this.paused.add(attempt);
  }

  /** Queues a paused attempt again. */
  resume(attempt: Attempt): void {
    if (attempt.state !== AttemptState.Paused) return;
    this.paused.delete(attempt);
    this.enqueue(attempt);
  }

  stop(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
    this.queue.length = 0;
    this.running.clear();
  }

  private detach(attempt: Attempt): void {
    this.running.delete(attempt);
    this.paused.delete(attempt);
    const index = this.queue.indexOf(attempt);
    if (index >= 0) this.queue.splice(index, 1);
  }

  private startStep(nowMs: number): void {
    const prefillMs = this.admitQueued();
    if (this.running.size === 0) {
      this.timer = undefined;
      return;
    }
    this.stepEndsAtMs = nowMs + this.options.getStepMs(this.running.size) + prefillMs;
    const waitMs = Math.max(0, this.stepEndsAtMs - performance.now());
    this.timer = setTimeout(() => this.finishSteps(), waitMs);
  }

  /** Finishes the due step and, if the timer fired late, the steps that should have ended since. */
  private finishSteps(): void {
    for (let count = 0; count < CATCH_UP_STEPS; count += 1) {
      this.finishStep();
      const nowMs = performance.now();
      const isLast = count === CATCH_UP_STEPS - 1;
      this.startStep(isLast ? nowMs : this.stepEndsAtMs);
      if (this.timer === undefined || this.stepEndsAtMs > nowMs) return;
      if (!isLast) clearTimeout(this.timer);
    }
  }

  private finishStep(): void {
    for (const attempt of this.running) {
      if (!attempt.isComplete) {
        attempt.emitNextToken();
        this.options.onToken();
      }
      if (!attempt.isComplete) continue;
      this.running.delete(attempt);
      attempt.state = AttemptState.Ended;
      this.options.onFinish(attempt);
    }
  }

  private admitQueued(): number {
    let prefillMs = 0;
    while (this.running.size < this.options.slots) {
      const attempt = this.queue.shift();
      if (attempt === undefined) break;
      attempt.state = AttemptState.Running;
      this.running.add(attempt);
      prefillMs += this.options.onStart(attempt);
    }
    return prefillMs;
  }
}
