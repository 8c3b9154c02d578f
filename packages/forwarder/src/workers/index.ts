/** State that this VM keeps of the workers. */
export * from './InvalidHeaderLog.js';
export * from './WorkerFleet.js';
export * from './WorkerPaces.js';
export * from './hashInstance.js';
export * from './toInstanceId.js';
