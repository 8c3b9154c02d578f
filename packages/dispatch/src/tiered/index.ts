/** The product's policy: tiers, guaranteed shares, fairness, preemption, engine health and quarantine. */
export * from './createTieredDispatcher.js';
