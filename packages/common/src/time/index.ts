/** Time sources. */
export * from './clock.js';
