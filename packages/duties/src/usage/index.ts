/** Usage reports: how many requests of each workspace began to run, by window. */
export * from './buildUsagePage.js';
export * from './createUsageReporter.js';
export * from './FleetClock.js';
export * from './UsageCounter.js';
export { computePollIntervalMs } from './UsagePoller.js';
export type { UsagePageFetcher } from './UsagePoller.js';
export type * from './types.js';
export * from './windowCounts.js';
export * from './windows.js';
