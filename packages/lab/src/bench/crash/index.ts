/** The benchmark `crash`: engines and a daemon are killed under load. */
export * from './crash.js';
