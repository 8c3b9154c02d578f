import type { ServiceName, VmId } from '@sardinegrade/common';
import type { TableList } from './TableStore.js';

/**
 * Decides whether all VMs place the new streams of a service by its recorded tables.
 *
 * @param list - tables and claims
 * @param vms - all registered VMs
 * @param service - the service
 * @param minSequence - sequence of the oldest table that a VM may use; any recorded one by default
 * @returns whether every VM has a claim, and none is outdated
 */
export const isClaimedByAll = (
  { tables, claims, era, isComplete }: TableList,
  vms: readonly VmId[],
  service: ServiceName,
  minSequence = 0,
): boolean => {
  if (!isComplete) return false;
  const recorded = new Set(
    tables.filter((table) => table.service === service).map(({ sequence }) => sequence),
  );
  const claimed = new Map(claims.map((claim) => [claim.vm, claim]));
  // A VM that has left the registry may still serve, and its claim is removed later.
  return [...new Set([...vms, ...claimed.keys()])].every((vm) => {
    const claim = claimed.get(vm);
    const sequence = claim?.sequences.get(service);
    if (claim?.era !== era || sequence === undefined) return false;
    return sequence >= minSequence && recorded.has(sequence);
  });
};
