import { ChangeSchedule } from '../sharing/index.js';

/**
 * Time after this VM has learned that a worker leaves in which the worker may still get requests, in milliseconds. The
 * operators allow those that callers sent within 2 s after the answer.
 */
export const LEAVING_GRACE_MS = 1_500;

/** Maximum number of remembered worker instances; the ones that left first are forgotten. */
const MAX_INSTANCES = 4_096;

/**
 * Tracks the worker instances that have stated in an answer that they leave. An instance does not take this back: an answer
 * without the statement may have been written before, and a restarted worker is another instance.
 */
export class LeavingTracker {
  /** When this VM learned that an instance leaves, in milliseconds, by the hash of the instance's id. */
  readonly #learnedAtMs = new Map<number, number>();
  readonly #changes = new ChangeSchedule<number>();
  #revision = 0;

  /** Whether an instance has to be sent to other VMs. */
  get hasUnsent(): boolean {
    return this.#changes.hasUnsent;
  }

  /** Increases with each recorded instance; 0 if there is none. */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Records that a worker instance leaves, according to its answer or to another VM.
   *
   * @param instance - hash of the id of the worker instance
   * @param nowMs - current time, in milliseconds
   * @returns whether this was not known before
   */
  record(instance: number, nowMs: number): boolean {
    if (this.#learnedAtMs.has(instance)) return false;
    this.#revision += 1;
    this.#learnedAtMs.set(instance, nowMs);
    this.#changes.markChanged(instance);
    const [oldest] = this.#learnedAtMs.keys();
    if (oldest !== undefined && this.#learnedAtMs.size > MAX_INSTANCES) {
      this.#learnedAtMs.delete(oldest);
      this.#changes.remove(oldest);
    }
    return true;
  }

  /** @returns whether a worker instance leaves */
  isLeaving(instance: number): boolean {
    return this.#learnedAtMs.has(instance);
  }

  /**
   * Decides whether a worker instance may still get a request if no other worker can serve it.
   *
   * @param instance - hash of the id of the worker instance
   * @param nowMs - current time, in milliseconds
   * @returns whether it does not leave, or this has been known only for a short time
   */
  canStillSend(instance: number, nowMs: number): boolean {
    const learnedAtMs = this.#learnedAtMs.get(instance);
    return learnedAtMs === undefined || nowMs - learnedAtMs < LEAVING_GRACE_MS;
  }

  /**
   * Collects the instances for the next message to other VMs.
   *
   * @param nowMs - current time, in milliseconds
   * @param listRegistered - lists the instances that other VMs may use
   * @returns instances that became known recently, and at intervals all registered ones
   */
  collectUnsent(nowMs: number, listRegistered: () => ReadonlySet<number>): readonly number[] {
    return this.#changes.collect(nowMs, () => {
      if (this.#learnedAtMs.size === 0) return [];
      const registered = listRegistered();
      return [...this.#learnedAtMs.keys()].filter((instance) => registered.has(instance));
    });
  }
}
