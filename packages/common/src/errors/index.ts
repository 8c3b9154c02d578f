/** Errors, result codes and their HTTP statuses. */
export * from './constants.js';
export * from './resultCode.js';
export * from './SardinegradeError.js';
export * from './toError.js';
