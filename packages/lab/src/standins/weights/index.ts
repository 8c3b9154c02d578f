/** Stand-in of the weight store. */
export * from './startWeightStore.js';
