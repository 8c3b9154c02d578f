const CONTROL = /[\u0000-\u0008\u000b-\u001f\u007f-\u009f]/g;

/**
 * Makes a text safe for a terminal: names in it come from the configuration and from callers.
 *
 * @param text - the output
 * @returns the text with control characters but line breaks and tabs replaced
 */
export const sanitizeOutput = (text: string): string => text.replace(CONTROL, '?');
