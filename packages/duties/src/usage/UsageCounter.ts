import { computeWindow, isKeptWindow } from './windows.js';

import type { WorkspaceName } from '@sardinegrade/common';
import type { VmProcess, WorkspaceCounts } from './types.js';

/** Process that counts, and the length of its windows. */
export interface UsageCounterOptions {
  readonly process: VmProcess;
  readonly windowMs: number;
}

/** Counts the requests that begin to run on this VM, by window and workspace, and keeps the last windows. */
export class UsageCounter {
  readonly #windows = new Map<number, Map<WorkspaceName, number>>();
  #lastWindow = Number.NEGATIVE_INFINITY;

  /** @param options - this process and the length of a window */
  constructor(private readonly options: UsageCounterOptions) {}

  /** The process that counts. */
  get process(): VmProcess {
    return this.options.process;
  }

  /**
   * Counts a request that has begun to run.
   *
   * @param workspace - its workspace
   * @param timeMs - fleet time of its first event, in milliseconds
   */
  record(workspace: WorkspaceName, timeMs: number): void {
    const window = computeWindow(timeMs, this.options.windowMs);
    if (window !== this.#lastWindow) this.#removeOthers(window);
    this.#lastWindow = window;
    const counts = this.#windows.get(window) ?? new Map<WorkspaceName, number>();
    this.#windows.set(window, counts.set(workspace, (counts.get(workspace) ?? 0) + 1));
  }

  /**
   * Lists the counts from a window on.
   *
   * @param firstWindow - the first window
   * @returns the counts by workspace of each window that has any
   */
  list(firstWindow: number): ReadonlyMap<number, WorkspaceCounts> {
    return new Map([...this.#windows].filter(([window]) => window >= firstWindow));
  }

  /** Removes windows that are too old, and those that were counted while the clock was far ahead. */
  #removeOthers(current: number): void {
    for (const window of this.#windows.keys())
      if (!isKeptWindow(window, current)) this.#windows.delete(window);
  }
}
