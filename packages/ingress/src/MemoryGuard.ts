/** Share of the memory of the machine from which garbage is collected: V8 lets its heap grow, whatever that memory is. */
const COLLECT_SHARE = 0.65;

/** Maximum share of the time that collections take, and the shortest pause between two of them, in milliseconds. */
const MAX_TIME_SHARE = 0.05;
const MIN_PAUSE_MS = 200;

/** What a `MemoryGuard` reads and does. */
export interface MemoryGuardOptions {
  /** Memory of the machine for this process, in bytes. */
  readonly memoryBytes: number;
  /** Reads a monotonic clock, in milliseconds. */
  readonly getNowMs: () => number;
  /** Reads the resident memory of this process, in bytes. */
  readonly readResidentBytes: () => number;
  /** Collects garbage. */
  readonly collect: () => void;
}

/** Collects garbage while a process needs much of the memory of its machine. */
export class MemoryGuard {
  #nextAtMs = Number.NEGATIVE_INFINITY;

  /** @param options - memory, clock and collection */
  constructor(private readonly options: MemoryGuardOptions) {}

  /** Called several times a second. */
  check(): void {
    const { memoryBytes, getNowMs, readResidentBytes, collect } = this.options;
    const startMs = getNowMs();
    if (startMs < this.#nextAtMs || readResidentBytes() < memoryBytes * COLLECT_SHARE) return;
    collect();
    const endMs = getNowMs();
    this.#nextAtMs = endMs + Math.max(MIN_PAUSE_MS, (endMs - startMs) / MAX_TIME_SHARE);
  }
}
