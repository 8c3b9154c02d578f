import type { Route } from './types.js';

const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

/** Finds the route of a request: by host, then by the longest prefix of the path. */
export class RouteTable {
  /** Routes by host and prefix. */
  readonly #routes = new Map<string, Map<string, Route>>();

  /** @param routes - the routes of one configuration */
  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = normalizeHost(route.host);
      const byPrefix = this.#routes.get(host) ?? new Map<string, Route>();
      byPrefix.set(route.pathPrefix, route);
      this.#routes.set(host, byPrefix);
    }
  }

  /**
   * Finds a request's route. The work depends on the depth of the path, not on the number of routes.
   *
   * @param host - value of the Host header
   * @param target - path and query of the request
   * @returns the route with the longest prefix, or undefined
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
