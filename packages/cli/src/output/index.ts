/** Human-readable output of the commands. */
export * from './format.js';
export * from './renderConfiguration.js';
export * from './renderExplanation.js';
export * from './renderOrder.js';
export * from './renderStatus.js';
export * from './renderTable.js';
export * from './sanitizeOutput.js';
