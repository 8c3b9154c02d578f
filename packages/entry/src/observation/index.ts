/** What the daemon observes of itself beside the chat path: plain services, platform, gauges. */
export * from './observePlatform.js';
export * from './observeServiceCaller.js';
export * from './registerGauges.js';
export * from './ServiceObserver.js';
