/** Output for people. */
export * from './format.js';
export * from './renderConfiguration.js';
export * from './renderExplanation.js';
export * from './renderOrder.js';
export * from './renderStatus.js';
export * from './renderTable.js';
export * from './sanitizeOutput.js';
