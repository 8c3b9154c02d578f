import type { Route } from './types.js';

const normalizeHost = (host: string): string => host.toLowerCase().replace(/:\d+$/, '');

/** Looks up the route of a request by host, then by the longest matching path prefix. */
export class RouteTable {
  /** Routes by normalized host, then by path prefix. */
  readonly #routes = new Map<string, Map<string, Route>>();
  /** Length of the longest path prefix of each host. */
  readonly #longest = new Map<string, number>();

  /** @param routes - all routes of one configuration version */
  constructor(routes: readonly Route[]) {
    for (const route of routes) {
      const host = normalizeHost(route.host);
      const byPrefix = this.#routes.get(host) ?? new Map<string, Route>();
      byPrefix.set(route.pathPrefix, route);
      this.#routes.set(host, byPrefix);
      this.#longest.set(host, Math.max(this.#longest.get(host) ?? 0, route.pathPrefix.length));
    }
  }

  /**
   * Finds the route of a request. The cost grows with the length of the longest prefix, not with that of the path or the number
   * of routes.
   *
   * @param host - value of the Host header; case and port are ignored
   * @param target - request target: path and query
   * @returns the route with the longest matching prefix, or undefined if none matches
   */
  find(host: string, target: string): Route | undefined {
    const name = normalizeHost(host);
    const byPrefix = this.#routes.get(name);
    if (byPrefix === undefined) return undefined;
    const [wholePath = ''] = target.split('?', 1);
    // No prefix is longer, and a path may consist of slashes.
    const path = wholePath.slice(0, this.#longest.get(name));
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
