/** Record of the builds at which streams may have begun. */
export * from './BuildRegistry.js';
export type * from './TableStore.js';
