/** Learns the pace of workers from their answers. */
export * from './chooseTrial.js';
export * from './enums.js';
export * from './measureAnswer.js';
export * from './PaceTable.js';
export * from './types.js';
