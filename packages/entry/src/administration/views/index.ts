/** What operators see, built from the daemon's state. */
export * from './describeFleet.js';
export * from './describeOrder.js';
export * from './describeRequest.js';
export * from './describeServices.js';
