import { ResultCode } from '@sardinegrade/common';

import { ApiError, MethodError } from '../errors.js';

import type { Route } from './types.js';

interface CompiledRoute {
  readonly route: Route;
  readonly pattern: RegExp;
  readonly names: readonly string[];
}

/** The route of a request and the decoded path parameters. */
export interface RouteMatch {
  readonly route: Route;
  readonly path: Readonly<Record<string, string>>;
}

const PLACEHOLDER = /\{(\w+)\}/g;

const buildRoute = (route: Route): CompiledRoute => ({
  route,
  pattern: new RegExp(`^${route.path.replaceAll('.', '\\.').replace(PLACEHOLDER, '([^/]+)')}$`),
  names: [...route.path.matchAll(PLACEHOLDER)].map((match) => match[1] ?? ''),
});

const decodePart = (part: string): string => {
  try {
    return decodeURIComponent(part);
  } catch {
    throw new ApiError(ResultCode.UnknownPath, 'The path holds a malformed escape.');
  }
};

const decodePath = (names: readonly string[], match: RegExpExecArray): RouteMatch['path'] =>
  Object.fromEntries(names.map((name, index) => [name, decodePart(match[index + 1] ?? '')]));

/**
 * Creates a function that finds the route for a method and a path.
 *
 * @param routes - all routes of the API
 * @returns the function; it throws ApiError for an unknown path and MethodError for an unsupported method
 */
export const createRouteMatcher = (
  routes: readonly Route[],
): ((method: string, path: string) => RouteMatch) => {
  const compiled = routes.map(buildRoute);
  return (method, path) => {
    const allowed: string[] = [];
    for (const { route, pattern, names } of compiled) {
      const match = pattern.exec(path);
      if (match === null) continue;
      if (route.method === method) return { route, path: decodePath(names, match) };
      allowed.push(route.method);
    }
    if (allowed.length > 0) throw new MethodError(method, allowed);
    throw new ApiError(ResultCode.UnknownPath, `Nothing stands at ${path}.`);
  };
};
