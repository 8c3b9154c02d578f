/** Number of messages in which a change is repeated, because messages may be lost. */
const REPEATS_PER_CHANGE = 4;

/** Interval at which entries without changes are sent, for VMs that start or were cut off, in milliseconds. */
const RESEND_INTERVAL_MS = 1_000;

/** Maximum number of changed, and of unchanged entries in one message. */
export const MAX_SENT_ENTRIES = 24;

/** Selects which entries of a shared state go into the next message to other VMs. */
export class ChangeSchedule<Key> {
  readonly #repeats = new Map<Key, number>();
  #resentAtMs = Number.NEGATIVE_INFINITY;
  #offset = 0;

  /** Whether a change has not been sent in enough messages yet. */
  get hasUnsent(): boolean {
    return this.#repeats.size > 0;
  }

  /** Records that an entry has changed. */
  markChanged(key: Key): void {
    this.#repeats.set(key, REPEATS_PER_CHANGE);
  }

  /** Removes an entry that no longer exists. */
  remove(key: Key): void {
    this.#repeats.delete(key);
  }

  /**
   * Collects the entries for the next message: recent changes, and at intervals a part of the others.
   *
   * @param nowMs - current time, in milliseconds
   * @param listAll - lists the entries that are sent again without a change
   * @returns keys of the entries
   */
  collect(nowMs: number, listAll: () => readonly Key[]): readonly Key[] {
    const changed = [...this.#repeats].slice(0, MAX_SENT_ENTRIES);
    for (const [key, repeats] of changed) {
      if (repeats > 1) this.#repeats.set(key, repeats - 1);
      else this.#repeats.delete(key);
    }
    return [...changed.map(([key]) => key), ...this.#collectUnchanged(nowMs, listAll)];
  }

  #collectUnchanged(nowMs: number, listAll: () => readonly Key[]): readonly Key[] {
    if (nowMs - this.#resentAtMs < RESEND_INTERVAL_MS) return [];
    this.#resentAtMs = nowMs;
    const keys = listAll();
    if (this.#offset >= keys.length) this.#offset = 0;
    const chunk = keys.slice(this.#offset, this.#offset + MAX_SENT_ENTRIES);
    this.#offset += chunk.length;
    return chunk;
  }
}
