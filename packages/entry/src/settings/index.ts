/** Settings of the entry daemon. */
export * from './entrySettings.js';
