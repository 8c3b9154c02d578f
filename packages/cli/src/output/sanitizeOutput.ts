const CONTROL = /[\u0000-\u0008\u000b-\u001f\u007f-\u009f]/g;

/**
 * Replaces control characters, which could alter the terminal: names in the output come from the
 * configuration and from callers.
 *
 * @param text - the output
 * @returns the text with all control characters except line breaks and tabs replaced by `?`
 */
export const sanitizeOutput = (text: string): string => text.replace(CONTROL, '?');
