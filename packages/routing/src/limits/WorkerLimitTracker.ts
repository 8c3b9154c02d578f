import { LimitHeader } from './types.js';

import type { LimitReport, NamedLimit } from './types.js';

/** Limit of a worker instance, or its end. */
interface LimitRecord {
  readonly perSecond: number | undefined;
  /** When an answer last showed this, in milliseconds. */
  readonly seenAtMs: number;
  /** When the limit became known, in milliseconds. */
  readonly knownAtMs: number;
}

/** A limit that a worker named, changed or no longer names. */
export interface LimitChange {
  readonly before: number | undefined;
  readonly after: number | undefined;
}

/** An answer of a worker, as far as limits are concerned. */
export interface LimitedAnswer {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  readonly limit: NamedLimit;
  /** When its request was sent, in milliseconds. */
  readonly sentAtMs: number;
}

/** Time without an answer of the worker after which its limit is forgotten, in milliseconds. */
const LIMIT_LIFETIME_MS = 600_000;

/** Tracks the limits that workers name in their answers. */
export class WorkerLimitTracker {
  readonly #records = new Map<number, LimitRecord>();

  /** Number of workers with a limit. */
  get limitedCount(): number {
    return [...this.#records.values()].filter(({ perSecond }) => perSecond !== undefined).length;
  }

  /** @returns the limit of a worker instance, in requests a second of all VMs; undefined if it names none */
  getLimit(instance: number): number | undefined {
    return this.#records.get(instance)?.perSecond;
  }

  /**
   * Records whether an answer names a limit. An answer without one ends the limit only if its request was sent after the
   * limit was known: answers on different connections overtake each other.
   *
   * @param answer - the answer
   * @param nowMs - current time, in milliseconds
   * @returns the change, or undefined if the limit is as before
   */
  recordAnswer(answer: LimitedAnswer, nowMs: number): LimitChange | undefined {
    const { instance, limit, sentAtMs } = answer;
    if (limit.header === LimitHeader.Invalid) return undefined;
    const known = this.#records.get(instance);
    if (limit.header === LimitHeader.Valid) return this.#set(instance, limit.perSecond, nowMs);
    if (known?.perSecond === undefined || sentAtMs < known.knownAtMs) return undefined;
    return this.#set(instance, undefined, nowMs);
  }

  /**
   * Applies a report of another VM unless the own knowledge is newer.
   *
   * @param report - the received report
   * @param nowMs - current time, in milliseconds
   * @returns the change, or undefined if there is none
   */
  applyReport({ instance, perSecond, ageMs }: LimitReport, nowMs: number): LimitChange | undefined {
    const seenAtMs = nowMs - ageMs;
    if (seenAtMs <= (this.#records.get(instance)?.seenAtMs ?? Number.NEGATIVE_INFINITY)) {
      return undefined;
    }
    return this.#set(instance, perSecond, nowMs, seenAtMs);
  }

  #set(
    instance: number,
    perSecond: number | undefined,
    nowMs: number,
    seenAtMs = nowMs,
  ): LimitChange | undefined {
    const known = this.#records.get(instance);
    const before = known?.perSecond;
    const knownAtMs = before === undefined ? nowMs : (known?.knownAtMs ?? nowMs);
    this.#records.set(instance, { perSecond, seenAtMs, knownAtMs });
    for (const [other, { seenAtMs: otherMs }] of this.#records) {
      if (nowMs - otherMs > LIMIT_LIFETIME_MS) this.#records.delete(other);
    }
    return before === perSecond ? undefined : { before, after: perSecond };
  }
}
