/** Metrics, spans and journal entries for plain services and platform calls, and gauges of the daemon. */
export * from './observePlatform.js';
export * from './observeServiceClient.js';
export * from './registerGauges.js';
export * from './ServiceObserver.js';
