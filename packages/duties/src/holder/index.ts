/** Choice of the VM that makes the calls. */
export * from './constants.js';
export * from './createDutyHolder.js';
export * from './enums.js';
export * from './permit.js';
export * from './silence.js';
export * from './suspension.js';
