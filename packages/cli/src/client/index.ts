/** Client of the administration API. */
export * from './createFleetClient.js';
export * from './ProblemError.js';
export type * from './types.js';
