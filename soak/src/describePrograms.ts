import type { SoakVm } from './SoakVm.js';

/**
 * Describes which programs each VM has run.
 *
 * @param vms - the VMs
 * @returns one line for each VM; none if all have run the same program
 */
export const describePrograms = (vms: readonly SoakVm[]): readonly string[] => {
  const programs = new Set(vms.flatMap(({ startedPrograms }) => startedPrograms));
  if (programs.size < 2) return [];
  return vms.map(
    ({ options, startedPrograms }) =>
      `${options.name} ran, by start: ${startedPrograms.join(', ')}`,
  );
};
