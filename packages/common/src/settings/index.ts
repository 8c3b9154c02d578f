/** Settings: parsing and validation of INI texts with line numbers and durations, and socket addresses. */
export * from './duration.js';
export * from './iniDocument.js';
export * from './loadSettings.js';
export * from './SettingsError.js';
export type * from './SocketAddress.js';
