/** Rendezvous hashing, used to place requests and their queues. */
export * from './rendezvous.js';
