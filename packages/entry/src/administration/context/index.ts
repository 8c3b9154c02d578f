/** Builds the context of the administration API from the components of a daemon. */
export * from './createAdministrationContext.js';
