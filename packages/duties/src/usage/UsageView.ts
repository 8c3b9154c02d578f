import { addCounts, keepLargest } from './mergeCounts.js';
import { computeWindow, isKeptWindow } from './windows.js';

import type { VmId } from '@sardinegrade/common';
import type { UsagePage, WorkspaceCounts } from './types.js';

/** What the holder knows of one process of a VM. */
interface ProcessUsage {
  readonly windows: Map<number, WorkspaceCounts>;
  lastWindow: number;
}

/** Merged counts of all VMs: the largest count that was seen for each VM process, window and workspace. */
export class UsageView {
  readonly #processes = new Map<string, ProcessUsage>();
  #sweptWindow: number | undefined;
  /** Fleet time up to which the counts of a VM are final, in milliseconds. */
  readonly #finalUntilMs = new Map<VmId, number>();

  /** @param windowMs - length of a window, in milliseconds */
  constructor(private readonly windowMs: number) {}

  /**
   * Adds what a VM has told.
   *
   * @param page - the VM's counts
   * @param timeMs - current fleet time, in milliseconds
   * @returns number of windows that were ignored because they are too far in the future
   */
  add({ process, timeMs: pageTimeMs, windows }: UsagePage, timeMs: number): number {
    const current = computeWindow(timeMs, this.windowMs);
    const finalUntilMs = Math.min(pageTimeMs, timeMs);
    const known = this.#finalUntilMs.get(process.vm) ?? Number.NEGATIVE_INFINITY;
    this.#finalUntilMs.set(process.vm, Math.max(known, finalUntilMs));
    const usage = this.#getProcess(`${process.startedAtMs} ${process.vm}`);
    let ignored = 0;
    for (const [window, counts] of windows) {
      if (isKeptWindow(window, current)) this.#keepLargest(usage, window, counts);
      else if (window > current) ignored += 1;
    }
    return ignored;
  }

  /**
   * Tells whether a VM has told its final counts of all windows up to a time.
   *
   * @param vm - the VM
   * @param timeMs - fleet time, in milliseconds
   */
  isFinal(vm: VmId, timeMs: number): boolean {
    return (this.#finalUntilMs.get(vm) ?? Number.NEGATIVE_INFINITY) >= timeMs;
  }

  /**
   * Adds up the counts of a window over all VM processes.
   *
   * @param window - number of the window
   * @returns the counts by workspace
   */
  computeTotal(window: number): WorkspaceCounts {
    const counts = [...this.#processes.values()].map(({ windows }) => windows.get(window));
    return counts.reduce<WorkspaceCounts>(
      (total, next) => (next === undefined ? total : addCounts(total, next)),
      new Map(),
    );
  }

  /** Removes windows that are not kept any more; does so once in each window. */
  sweep(timeMs: number): void {
    const current = computeWindow(timeMs, this.windowMs);
    if (current === this.#sweptWindow) return;
    this.#sweptWindow = current;
    for (const [key, { windows, lastWindow }] of this.#processes) {
      for (const window of windows.keys())
        if (!isKeptWindow(window, current)) windows.delete(window);
      if (!isKeptWindow(lastWindow, current)) this.#processes.delete(key);
    }
  }

  #getProcess(key: string): ProcessUsage {
    const usage = this.#processes.get(key) ?? { windows: new Map(), lastWindow: 0 };
    this.#processes.set(key, usage);
    return usage;
  }

  #keepLargest(usage: ProcessUsage, window: number, counts: WorkspaceCounts): void {
    const known = usage.windows.get(window);
    usage.windows.set(window, known === undefined ? counts : keepLargest(known, counts));
    usage.lastWindow = Math.max(usage.lastWindow, window);
  }
}
