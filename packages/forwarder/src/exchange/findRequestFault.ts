import { MAX_HEAD_LINES } from '@sardinegrade/ingress';

import type { IncomingMessage } from 'node:http';

/** Characters that no path has: control characters and spaces, some of which Node accepts. */
const INVALID_PATH_CHARACTER = /[^\u0021-\u00ff]/;

/** A token of RFC 9110. Node accepts names that are empty or contain spaces. */
const HEADER_NAME = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

/**
 * Finds why a request that Node has read is malformed. Such a request cannot be sent to any worker.
 *
 * @param request - the caller's request
 * @returns the reason, or undefined if the request is in order
 */
export const findRequestFault = ({
  url = '',
  rawHeaders,
}: Pick<IncomingMessage, 'url' | 'rawHeaders'>): string | undefined => {
  if (rawHeaders.length >= 2 * MAX_HEAD_LINES) return 'The head has too many lines.';
  if (INVALID_PATH_CHARACTER.test(url)) return 'The path contains a character that is not allowed.';
  let hosts = 0;
  for (let index = 0; index < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    if (!HEADER_NAME.test(name)) return 'The name of a header is not valid.';
    if (name.toLowerCase() === 'host') hosts += 1;
  }
  return hosts > 1 ? 'The request has more than one Host header.' : undefined;
};
