import { readFileSync } from 'node:fs';

/**
 * Reads the maximum number of open descriptors of this process.
 *
 * @returns the limit; undefined if the system has none or does not tell it
 */
export const readDescriptorLimit = (): number | undefined => {
  try {
    const limits = readFileSync('/proc/self/limits', 'utf8');
    const [, limit] = /^Max open files +(\d+)/m.exec(limits) ?? [];
    return limit === undefined ? undefined : Number(limit);
  } catch {
    return undefined;
  }
};
