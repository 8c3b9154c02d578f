/** Requests to model services, from the caller's body to the last token. */
export * from './ChatCall.js';
export * from './RetryBudgets.js';
export * from './findTarget.js';
export * from './parseChatRequest.js';
export * from './routes.js';
export type * from './types.js';
