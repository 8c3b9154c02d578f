import type { Violation } from './SoakLedger.js';
import type { SoakVm } from './SoakVm.js';

/** A VM of which the programs are described. */
export type ProgramVm = Pick<SoakVm, 'startedPrograms'> & {
  readonly options: Pick<SoakVm['options'], 'name'>;
};

/** A process of a VM. */
export interface VmProcess {
  readonly vm: string;
  /** Number of its start, from 1. */
  readonly vmStartCount: number;
}

/** Stands for the program of a violation of several VMs, or of a request without an answer. */
const NO_PROGRAM = 'no single VM';

/** Whether the VMs have run several programs. */
const hasSeveral = (vms: readonly ProgramVm[]): boolean =>
  new Set(vms.flatMap(({ startedPrograms }) => startedPrograms)).size > 1;

/**
 * Describes which programs each VM has run.
 *
 * @param vms - the VMs
 * @returns one line for each VM; none if all have run the same program
 */
export const describePrograms = (vms: readonly ProgramVm[]): readonly string[] =>
  hasSeveral(vms)
    ? vms.map(
        ({ options, startedPrograms }) =>
          `${options.name} ran, by start: ${startedPrograms.join(', ')}`,
      )
    : [];

/**
 * Describes which program the VM of each violation ran, so that those of an older build can be told from the others.
 *
 * @param violations - the violations
 * @param vms - the VMs
 * @param findProcess - returns the process that answered a request; undefined if it has no answer
 * @returns one line for each rule and program; none if all VMs have run the same program
 */
export const describeViolations = (
  violations: readonly Violation[],
  vms: readonly ProgramVm[],
  findProcess: (requestId: string) => VmProcess | undefined,
): readonly string[] => {
  if (!hasSeveral(vms)) return [];
  const programs = new Map(
    vms.map(({ options, startedPrograms }) => [options.name, startedPrograms]),
  );
  const counts = new Map<string, number>();
  for (const { rule, requestId } of violations) {
    const { vm, vmStartCount } = findProcess(requestId) ?? { vm: '', vmStartCount: 1 };
    const program = programs.get(vm)?.[vmStartCount - 1] ?? NO_PROGRAM;
    const key = `${rule}, ${program}`;
    counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return [...counts].map(([key, count]) => `${count} violations of ${key}`);
};
