/** Data structures of the dispatcher. */
export * from './average.js';
export * from './IndexedHeap.js';
