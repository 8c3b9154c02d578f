import { VmLinkFault } from './VmLinks.js';

/** VMs to cut off from all workers, and how. */
export interface Cut<Vm> {
  readonly vms: readonly Vm[];
  readonly fault: VmLinkFault;
}

const FAULTS: readonly VmLinkFault[] = [VmLinkFault.Reset, VmLinkFault.Hang, VmLinkFault.RefuseNew];

/**
 * Picks one VM, all but one or all of them, and the fault of their connections.
 *
 * @param vms - all VMs
 * @param target - position among the choices, as a fraction from 0 up to 1
 * @returns the VMs to cut off, and the fault
 */
export const pickCut = <Vm>(vms: readonly Vm[], target: number): Cut<Vm> => {
  const choices = [1, vms.length - 1, vms.length].flatMap((count) =>
    FAULTS.map((fault) => ({ count, fault })),
  );
  const { count, fault } = choices[Math.floor(target * choices.length)] ?? {
    count: 0,
    fault: VmLinkFault.None,
  };
  const first = Math.floor(target * choices.length * vms.length) % vms.length;
  return { vms: [...vms.slice(first), ...vms.slice(0, first)].slice(0, count), fault };
};
