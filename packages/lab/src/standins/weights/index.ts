/** Stand-in for the weight store. */
export * from './startWeightStore.js';
