/** The default policy: tiers, guaranteed shares, fairness, preemption, engine health and quarantine. */
export * from './createTieredDispatcher.js';
