/** The callers' HTTP interface: routing, keys, bodies and error answers. */
export * from './Authenticator.js';
export * from './CallerServer.js';
export * from './errorAnswer.js';
export * from './readBody.js';
export * from './types.js';
