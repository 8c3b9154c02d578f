/** Classes, engines, scenarios and tables shared by the benchmarks of the request path. */
export * from './classes.js';
export * from './engines.js';
export * from './runScenario.js';
export * from './scenarios.js';
export * from './tables.js';
export * from './waitUnlessAborted.js';
export * from './timeWindow.js';
