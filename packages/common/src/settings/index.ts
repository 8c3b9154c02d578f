/** INI texts: parsing with line numbers, units and validation. */
export * from './duration.js';
export * from './iniDocument.js';
export * from './loadSettings.js';
export * from './SettingsError.js';
