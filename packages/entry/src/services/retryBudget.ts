import { RETRY_BURST } from './constants.js';

import type { ServiceConfiguration, ServiceName } from '@sardinegrade/common';

/** Retries of each service, as a share of its first attempts. */
export interface RetryBudget {
  /** Counts a first attempt. */
  readonly recordAttempt: (service: ServiceConfiguration) => void;
  /** Takes a retry; false where none is left. */
  readonly acquire: (service: ServiceConfiguration) => boolean;
}

/**
 * Creates the retry budgets of all services of one daemon, each with a full burst.
 *
 * @returns the budgets
 */
export const createRetryBudget = (): RetryBudget => {
  const free = new Map<ServiceName, number>();

  const getFree = (service: ServiceConfiguration): number => free.get(service.name) ?? RETRY_BURST;

  const recordAttempt = (service: ServiceConfiguration) => {
    const next = getFree(service) + service.retry.budgetShare;
    free.set(service.name, Math.min(RETRY_BURST, next));
  };

  const acquire = (service: ServiceConfiguration): boolean => {
    const left = getFree(service) - 1;
    if (left < 0) return false;
    free.set(service.name, left);
    return true;
  };

  return { recordAttempt, acquire };
};
