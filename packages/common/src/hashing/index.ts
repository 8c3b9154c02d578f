/** Rendezvous hashing, used to place requests and their queues, and ids of bounded length. */
export * from './normalizeId.js';
export * from './rendezvous.js';
