import type { PlatformVm } from '../types.js';

interface VmRecord {
  readonly atMs: number;
  readonly vms: readonly PlatformVm[];
}

/** Earlier states of the VM list, so that it can be returned with a lag. */
export class VmHistory {
  private readonly records: VmRecord[] = [];

  record(vms: readonly PlatformVm[], atMs: number): void {
    this.records.push({ atMs, vms });
  }

  /** Finds the list as of a given time. */
  find(atMs: number): readonly PlatformVm[] {
    return this.records.findLast((record) => record.atMs <= atMs)?.vms ?? [];
  }
}
