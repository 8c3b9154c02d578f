import { rankByRendezvous } from '@sardinegrade/common';

import type { DataCentreName, VmId } from '@sardinegrade/common';
import type { Peer } from './types.js';

/** VMs up to which each reports to all others: 16 reports of 50 ms cost a VM what relays would. */
export const MAX_DIRECT_VMS = 16;

/**
 * Lists the VMs that pass on the loads of others.
 *
 * Load pattern: a burst over a large fleet. With reports from each VM to each other, one that spends the same on
 * reports at any size hears of the others ever later; with relays it hears of all within two reports, and what it
 * spends grows with the square root of the fleet, and only where it is a relay.
 *
 * @param vms - all VMs
 * @returns the relays, some of each data centre; all VMs of a small fleet
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
