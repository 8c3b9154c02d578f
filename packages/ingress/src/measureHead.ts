import type { IncomingMessage } from 'node:http';

/** Memory that a line of a head needs beside its text, in bytes: two strings, their places, and an entry of an object. */
const LINE_COST_BYTES = 160;

/**
 * Estimates the memory that the head of a request needs while the request is in progress.
 *
 * @param request - the request
 * @returns the memory in bytes
 */
export const measureHead = ({
  rawHeaders,
  url = '',
}: Pick<IncomingMessage, 'rawHeaders' | 'url'>): number => {
  const textBytes = rawHeaders.reduce((bytes, text) => bytes + text.length, url.length);
  return textBytes + (rawHeaders.length / 2) * LINE_COST_BYTES;
};
