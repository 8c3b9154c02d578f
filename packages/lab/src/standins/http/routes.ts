import { sendJson } from './messages.js';

import type { HttpHandler, Route, RoutedCall } from './types.js';

/**
 * Builds a handler from a table of routes.
 *
 * @param routes - the table; the first row that matches answers
 * @returns a handler that answers 404 where no row matches
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
 * Reads a number from a query.
 *
 * @param url - the request's URL
 * @param name - the parameter's name
 * @param otherwise - its value where it is absent or not a number
 * @returns the number
 */
export const getNumber = (url: URL, name: string, otherwise: number): number => {
  const text = url.searchParams.get(name);
  const value = Number(text);
  return text === null || !Number.isFinite(value) ? otherwise : value;
};
