/** The administration API's context, built from the parts of a daemon. */
export * from './createAdministrationContext.js';
