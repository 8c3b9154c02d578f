/** Data structures that the dispatcher uses. */
export * from './average.js';
export * from './IndexedHeap.js';
