import { RetryBudget } from '@sardinegrade/dispatch';

import type { Clock, ServiceConfiguration, ServiceName } from '@sardinegrade/common';

/** The retry budgets of a daemon, one per service. */
export class RetryBudgets {
  readonly #clock: Clock;
  readonly #budgets = new Map<ServiceName, RetryBudget>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Returns the budget of a service and applies the service's configured share to it.
   *
   * @param service - the service with its retry settings
   * @returns the budget; created with the first call
   */
  readonly getBudget = ({ name, retry }: ServiceConfiguration): RetryBudget => {
    const existing = this.#budgets.get(name);
    if (existing !== undefined) {
      existing.setShare(retry.budgetShare);
      return existing;
    }
    const budget = new RetryBudget(retry.budgetShare, this.#clock.getNowMs());
    this.#budgets.set(name, budget);
    return budget;
  };
}
