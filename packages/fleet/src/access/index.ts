/** Access: keys as hashes, and certificates that are replaced without a restart. */
export * from './constants.js';
export * from './keys.js';
export * from './ReloadingCertificate.js';
