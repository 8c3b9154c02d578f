import type { IncomingHttpHeaders } from 'node:http';
import type { RelayedHeaders } from '@sardinegrade/orders';

/**
 * Picks the headers that are forwarded between caller and service.
 *
 * @param headers - all received headers
 * @param names - names of the headers to pick, in lower case
 * @returns the picked headers; multiple values of a header are joined with commas, as HTTP allows
 */
export const pickHeaders = (
  headers: Readonly<IncomingHttpHeaders>,
  names: readonly string[],
): RelayedHeaders => {
  const picked: Record<string, string> = {};
  for (const name of names) {
    const value = headers[name];
    if (value === undefined) continue;
    picked[name] = typeof value === 'string' ? value : value.join(', ');
  }
  return picked;
};
