import { rankByRendezvous } from '@sardinegrade/common';

import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { Peer } from './types.js';

/** Maximum fleet size at which each VM reports to all others: at 16 VMs, reports every 50 ms cost as much as relays. */
export const MAX_DIRECT_VMS = 16;

/**
 * Lists the VMs that forward the load reports of other VMs.
 *
 * Load pattern: a burst over a large fleet. If each VM reported to each other within a fixed bandwidth, reports would
 * become less frequent as the fleet grows. With relays a VM receives the load of all others within two intervals, and
 * only the cost of a relay grows, with the square root of the fleet size.
 *
 * @param vms - all VMs of the fleet
 * @returns the relays, at least one of each data centre; in a small fleet each VM counts as a relay
 */
export const listRelays = (vms: readonly Peer[]): readonly Peer[] => {
  if (vms.length <= MAX_DIRECT_VMS) return vms;
  const groupSize = Math.ceil(Math.sqrt(vms.length));
  const members = new Map<DataCentreName, VmId[]>();
  for (const { vm, dataCentre } of vms) {
    members.set(dataCentre, [...(members.get(dataCentre) ?? []), vm]);
  }
  const relays = new Set<VmId>();
  for (const [dataCentre, names] of members) {
    const count = Math.ceil(names.length / groupSize);
    for (const vm of rankByRendezvous(`relays of ${dataCentre}`, names).slice(0, count)) {
      relays.add(vm);
    }
  }
  return vms.filter(({ vm }) => relays.has(vm));
};
