/** Retry budgets of services. */
export * from './RetryBudgets.js';
