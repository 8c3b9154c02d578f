/** What follows a send that brought no answer. */
export * from './decideNextStep.js';
export * from './enums.js';
