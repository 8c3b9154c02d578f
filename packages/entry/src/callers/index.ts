/** The HTTP interface for callers: routing, authentication, request bodies and error responses. */
export * from './Authenticator.js';
export * from './CallerServer.js';
export * from './errorAnswer.js';
export * from './keepUnreadAnswer.js';
export * from './readBody.js';
export * from './types.js';
