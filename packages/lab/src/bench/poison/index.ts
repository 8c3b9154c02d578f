/** The benchmark `poison`: a request that crashes every engine that runs it. */
export * from './poison.js';
