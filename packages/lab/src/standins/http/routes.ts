import { sendJson } from './messages.js';

import type { HttpHandler, Route, RoutedCall } from './types.js';

/**
 * Creates a request handler from a table of routes.
 *
 * @param routes - the table; the first matching row handles the request
 * @returns a handler that responds with 404 if no row matches
 */
export const createRouter =
  (routes: readonly Route[]): HttpHandler =>
  async (request, response) => {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    for (const route of routes) {
      if (route.method !== request.method) continue;
      const match = route.pattern.exec(url.pathname);
      if (match === null) continue;
      const parameters = match.slice(1).map(decodeURIComponent);
      const call: RoutedCall = { request, response, url, parameters };
      await route.handle(call);
      return;
    }
    sendJson(response, 404, { error: `No ${request.method ?? ''} ${url.pathname} here.` });
  };

/**
 * Reads a number from the query string.
 *
 * @param url - the request's URL
 * @param name - the parameter's name
 * @param fallback - value returned if the parameter is absent or not a finite number
 * @returns the parameter's value or the fallback
 */
export const getQueryNumber = (url: URL, name: string, fallback: number): number => {
  const text = url.searchParams.get(name);
  const value = Number(text);
  return text === null || !Number.isFinite(value) ? fallback : value;
};
