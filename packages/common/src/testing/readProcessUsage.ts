import { readdirSync, readFileSync } from 'node:fs';

const BYTES_PER_KB = 1_024;

/**
 * Counts the open descriptors of a process.
 *
 * @param pid - id of the process
 * @returns their number, 0 if the process has ended
 */
export const countDescriptors = (pid: number | undefined): number => {
  try {
    return readdirSync(`/proc/${pid ?? 0}/fd`).length;
  } catch {
    return 0;
  }
};

/**
 * Reads the resident memory of a process.
 *
 * @param pid - id of the process
 * @param name - `VmRSS` for the current size, `VmHWM` for its peak
 * @returns the size in bytes
 * @throws Error if the process has ended
 */
export const readMemoryBytes = (pid: number | undefined, name: 'VmHWM' | 'VmRSS'): number => {
  const status = readFileSync(`/proc/${pid ?? 0}/status`, 'utf8');
  return Number(new RegExp(`${name}:\\s+(\\d+) kB`).exec(status)?.[1]) * BYTES_PER_KB;
};
