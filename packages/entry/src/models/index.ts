/** Completion requests to model services: parsing, attempts, retries and answers. */
export * from './ChatCall.js';
export * from './findTarget.js';
export * from './parseChatRequest.js';
export * from './routes.js';
export type * from './types.js';
