/** Builders of configurations, asks and events for tests and benches. */
export * from './builders.js';
