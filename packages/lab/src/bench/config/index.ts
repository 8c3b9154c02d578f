/** The benchmark `config`: how fast and reliably configuration changes become active. */
export * from './config.js';
