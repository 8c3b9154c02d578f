/** Clocks. */
export * from './clock.js';
