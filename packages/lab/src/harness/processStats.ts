import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const KERNEL_TICKS_FIELD = 12;
const BYTES_PER_KILOBYTE = 1_024;

/**
 * Reads the CPU time that a process has used.
 *
 * @param pid - process id
 * @returns user and system time of all threads, in milliseconds
 */
export const readProcessorMs = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name, which is in parentheses, may contain spaces.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[KERNEL_TICKS_FIELD]);
  return (ticks * 1_000) / TICKS_PER_SECOND;
};

/**
 * Reads the resident memory of a process.
 *
 * @param pid - process id
 * @returns the resident set size in bytes
 */
export const readResidentBytes = (pid: number): number => {
  const kilobytes = /^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
  return Number(kilobytes ?? 0) * BYTES_PER_KILOBYTE;
};
