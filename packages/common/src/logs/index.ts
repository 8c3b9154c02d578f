/**
 * Structured logs: one line per event on standard error, as text or JSON. API keys and request
 * bodies are never logged.
 */
export * from './createLogger.js';
export * from './enums.js';
export * from './LogLimit.js';
export * from './sanitizeText.js';
export type * from './types.js';
