/** What is known of upstreams and requests beyond a single dispatcher. */
export * from './DependencyCheck.js';
export * from './FactTable.js';
export * from './UpstreamProber.js';
export * from './VmListWatcher.js';
export * from './constants.js';
