import type { Fingerprint } from '@sardinegrade/common';

/** How long a refusal is remembered, in milliseconds: callers return within a third of the time that they have left. */
const MEMORY_MS = 10_000;

/** Maximum number of remembered refusals; the oldest are forgotten. */
const MAX_REFUSALS = 4_096;

/** Requests that this VM has refused for load, by fingerprint. They go first when they return. */
export class RefusedRequests {
  readonly #refusedAtMs = new Map<Fingerprint, number>();

  /** Number of remembered refusals. */
  get size(): number {
    return this.#refusedAtMs.size;
  }

  /** Records a refusal. */
  record(fingerprint: Fingerprint, nowMs: number): void {
    this.#refusedAtMs.delete(fingerprint);
    this.#refusedAtMs.set(fingerprint, nowMs);
    for (const [oldest, atMs] of this.#refusedAtMs) {
      if (this.#refusedAtMs.size <= MAX_REFUSALS && nowMs - atMs <= MEMORY_MS) return;
      this.#refusedAtMs.delete(oldest);
    }
  }

  /** @returns whether a request was refused lately */
  has(fingerprint: Fingerprint, nowMs: number): boolean {
    const atMs = this.#refusedAtMs.get(fingerprint);
    return atMs !== undefined && nowMs - atMs <= MEMORY_MS;
  }
}
