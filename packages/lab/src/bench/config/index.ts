/** The bench `config`. */
export * from './config.js';
