/** Stand-in of a model engine. */
export * from './startEngine.js';
export type * from './types.js';
