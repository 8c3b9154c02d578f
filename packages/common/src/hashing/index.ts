/** Hashing for placement. */
export * from './rendezvous.js';
