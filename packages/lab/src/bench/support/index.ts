/** What the benches of the request path share: classes, engines, runs and tables. */
export * from './classes.js';
export * from './engines.js';
export * from './runScenario.js';
export * from './scenarios.js';
export * from './tables.js';
export * from './waitWithin.js';
export * from './window.js';
