import { LOG_VALUE_LIMIT } from './constants.js';

const CREDENTIAL = /\b(bearer|basic)\s+[^\s"',;]+/gi;
const KEY_PREFIX = /\bsk-[A-Za-z0-9_-]{8,}/g;
// Control characters would let a caller's text forge log lines or steer a terminal.
const CONTROL = /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/g;

const escapeControl = (character: string): string =>
  `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`;

/**
 * Makes a text safe for one log line: without credentials or control characters, and of bounded length.
 *
 * @param text - a message or field value
 * @returns the text to write
 */
export const sanitizeText = (text: string): string => {
  const bounded = text.length > LOG_VALUE_LIMIT ? `${text.slice(0, LOG_VALUE_LIMIT)}…` : text;
  return bounded
    .replace(CREDENTIAL, '$1 [redacted]')
    .replace(KEY_PREFIX, '[redacted]')
    .replace(CONTROL, escapeControl);
};
