import type { PlatformVm } from '../types.js';

interface VmRecord {
  readonly atMs: number;
  readonly vms: readonly PlatformVm[];
}

/** The list of VMs as it was at each time, so that it can be shown with a lag. */
export class VmHistory {
  private readonly records: VmRecord[] = [];

  record(vms: readonly PlatformVm[], atMs: number): void {
    this.records.push({ atMs, vms });
  }

  /** Finds the list as it stood at a time. */
  find(atMs: number): readonly PlatformVm[] {
    return this.records.findLast((record) => record.atMs <= atMs)?.vms ?? [];
  }
}
