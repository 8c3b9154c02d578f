/** Decides what follows a failed send. */
export * from './decideNextStep.js';
export * from './enums.js';
export * from './SharedRetryBudget.js';
