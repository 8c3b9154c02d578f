/** The daemon: its parts wired together, and its shutdown. */
export * from './EntryDaemon.js';
