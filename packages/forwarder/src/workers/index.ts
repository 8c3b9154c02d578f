/** State that this VM keeps of the workers. */
export * from './WorkerFleet.js';
export * from './toInstanceId.js';
