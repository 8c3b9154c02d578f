/** The entry daemon: creates and connects all components, and shuts them down. */
export * from './EntryDaemon.js';
