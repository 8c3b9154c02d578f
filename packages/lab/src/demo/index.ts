/** Demonstration of a complete small system in one process. */
export * from './DemoSystem.js';
export * from './requests.js';
export * from './runDemo.js';
export * from './sample.js';
