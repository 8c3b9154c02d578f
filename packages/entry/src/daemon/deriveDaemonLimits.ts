import { totalmem } from 'node:os';

import { deriveClientLimits, readDescriptorLimit } from '@sardinegrade/ingress';

import type { ClientLimits } from '@sardinegrade/ingress';
import type { EntrySettings } from '../settings/index.js';

/** Memory that a daemon needs without any caller, in bytes. */
const BASE_BYTES = 160_000_000;

/** Finds the memory of the machine, or of the control group if that has less. */
const findMemoryBytes = (): number => {
  const constrained = process.constrainedMemory();
  return constrained > 0 ? Math.min(constrained, totalmem()) : totalmem();
};

/**
 * Derives the limits of what callers make this daemon hold.
 *
 * @param callers - settings of the port for callers; what they do not name follows from the process
 * @returns the limits
 */
export const deriveDaemonLimits = (callers: EntrySettings['callers']): ClientLimits => {
  const limits = deriveClientLimits({
    memoryBytes: callers.memory_limit ?? findMemoryBytes(),
    descriptorLimit: readDescriptorLimit(),
    baseBytes: BASE_BYTES,
  });
  const requests = callers.request_limit ?? limits.requests;
  return {
    ...limits,
    requests,
    connections: callers.connection_limit ?? limits.connections,
    openBodies: Math.min(limits.openBodies, requests),
  };
};
