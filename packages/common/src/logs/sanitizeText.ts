import { LOG_VALUE_LIMIT } from './constants.js';

const CREDENTIAL_PATTERN = /\b(bearer|basic)\s+[^\s"',;]+/gi;
const API_KEY_PATTERN = /\bsk-[A-Za-z0-9_-]{8,}/g;
// Control characters in a caller's text could forge log lines or send escape sequences to a terminal.
const CONTROL_CHARACTER_PATTERN = /[\u0000-\u001f\u007f-\u009f\u2028\u2029]/g;

const escapeControl = (character: string): string =>
  `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`;

/**
 * Makes a text safe for a log line: redacts credentials, escapes control characters and
 * truncates it to LOG_VALUE_LIMIT.
 *
 * @param text - a message or field value
 * @returns the sanitized text
 */
export const sanitizeText = (text: string): string => {
  const bounded = text.length > LOG_VALUE_LIMIT ? `${text.slice(0, LOG_VALUE_LIMIT)}…` : text;
  return bounded
    .replace(CREDENTIAL_PATTERN, '$1 [redacted]')
    .replace(API_KEY_PATTERN, '[redacted]')
    .replace(CONTROL_CHARACTER_PATTERN, escapeControl);
};
