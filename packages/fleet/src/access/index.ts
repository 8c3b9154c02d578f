/** Access control: hashed keys, and certificates that are reloaded without a restart. */
export * from './constants.js';
export * from './keys.js';
export * from './ReloadingCertificate.js';
