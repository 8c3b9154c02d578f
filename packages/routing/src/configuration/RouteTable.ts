import type { Route } from './types.js';

const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

/** Looks up the route of a request by host, then by the longest matching path prefix. */
export class RouteTable {
  /** Routes by normalized host, then by path prefix. */
  readonly #routes = new Map<string, Map<string, Route>>();

  /** @param routes - all routes of one configuration version */
  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = normalizeHost(route.host);
      const byPrefix = this.#routes.get(host) ?? new Map<string, Route>();
      byPrefix.set(route.pathPrefix, route);
      this.#routes.set(host, byPrefix);
    }
  }

  /**
   * Finds the route of a request. The cost grows with the depth of the path, not with the number of routes.
   *
   * @param host - value of the Host header; case and port are ignored
   * @param target - request target: path and query
   * @returns the route with the longest matching prefix, or undefined if none matches
   */
  find(host: string, target: string): Route | undefined {
    const byPrefix = this.#routes.get(normalizeHost(host));
    if (byPrefix === undefined) return undefined;
    const path = target.split('?', 1)[0] ?? '';
    for (
      let end = path.lastIndexOf('/');
      end >= 0;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)
    ) {
      const route = byPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
    }
    return undefined;
  }
}
