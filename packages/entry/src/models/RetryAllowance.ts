import type { ServiceConfiguration, ServiceName } from '@sardinegrade/common';

const TOKENS_LIMIT = 20;

/** One retry budget per service: each first attempt earns a share of a retry. */
export class RetryAllowance {
  readonly #tokens = new Map<ServiceName, number>();

  readonly addFirstAttempt = (service: ServiceConfiguration): void => {
    const tokens = this.#tokens.get(service.name) ?? TOKENS_LIMIT;
    this.#tokens.set(service.name, Math.min(TOKENS_LIMIT, tokens + service.retry.budgetShare));
  };

  /**
   * Takes one retry out of a service's budget.
   *
   * @param service - the service
   * @returns whether the budget allowed it
   */
  readonly take = (service: ServiceConfiguration): boolean => {
    const tokens = this.#tokens.get(service.name) ?? TOKENS_LIMIT;
    if (tokens < 1) return false;
    this.#tokens.set(service.name, tokens - 1);
    return true;
  };
}
