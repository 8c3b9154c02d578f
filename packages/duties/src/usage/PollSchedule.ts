import type { VmId } from '@sardinegrade/common';

/** Part of an interval over which the first round is spread: a new holder needs the counts soon. */
const FIRST_ROUND_SHARE = 0.5;

/** Decides when which VM is fetched: each once in an interval, spread evenly over it. */
export class PollSchedule {
  #dueAtMs: ReadonlyMap<VmId, number> = new Map();

  /** @param intervalMs - time between two fetches of a VM, in milliseconds */
  constructor(private readonly intervalMs: number) {}

  /**
   * Takes the VMs that are to be fetched now, those first that have been due for longest.
   *
   * @param vms - all VMs
   * @param nowMs - current time, in milliseconds
   * @param maxCount - maximum number of VMs to take
   * @returns the VMs
   */
  takeDue(vms: readonly VmId[], nowMs: number, maxCount: number): readonly VmId[] {
    const spreadMs = this.#dueAtMs.size === 0 ? this.intervalMs * FIRST_ROUND_SHARE : 0;
    const dueAtMs = new Map(
      vms.map((vm, index) => [
        vm,
        this.#dueAtMs.get(vm) ?? nowMs + (index / vms.length) * spreadMs,
      ]),
    );
    const due = [...dueAtMs].filter(([, atMs]) => atMs <= nowMs).sort(([, a], [, b]) => a - b);
    const taken = due.slice(0, Math.max(0, maxCount));
    const firstSlotMs = this.intervalMs / Math.max(1, vms.length);
    for (const [vm, atMs] of taken) {
      const nextMs = atMs + this.intervalMs;
      dueAtMs.set(vm, nextMs > nowMs ? nextMs : nowMs + this.intervalMs - firstSlotMs);
    }
    this.#dueAtMs = dueAtMs;
    return taken.map(([vm]) => vm);
  }

  /** Starts anew, with a first round. */
  reset(): void {
    this.#dueAtMs = new Map();
  }
}
