/** Stand-in for a model engine. */
export * from './answerText.js';
export * from './hashText.js';
export * from './startEngine.js';
export type * from './types.js';
