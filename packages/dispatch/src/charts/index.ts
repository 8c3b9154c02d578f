/** State charts of requests, engines and request fingerprints. */
export * from './enums.js';
export * from './tables.js';
