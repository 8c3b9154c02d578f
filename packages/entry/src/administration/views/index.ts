/** Converts daemon state to the response bodies of the administration API. */
export * from './describeFleet.js';
export * from './describeOrder.js';
export * from './describeRequest.js';
export * from './describeServices.js';
