/** The state charts of asks, engines and fingerprints. */
export * from './enums.js';
export * from './tables.js';
