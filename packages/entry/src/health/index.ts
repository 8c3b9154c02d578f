/** Health of upstreams and dependencies, observed outside of the dispatchers. */
export * from './DependencyCheck.js';
export * from './ExpiringSet.js';
export * from './UpstreamProber.js';
export * from './VmListWatcher.js';
export * from './constants.js';
