import { STREAM_LIFETIME_MS } from './BuildHistory.js';

import type { ServiceName } from '@sardinegrade/common';
import type { Route } from '../configuration/index.js';

/** A service that a route has served, and when it last did. */
interface EarlierService {
  readonly service: ServiceName;
  readonly untilMs: number;
}

const listShares = ({ shares }: Route): readonly ServiceName[] =>
  shares.filter(({ weight }) => weight > 0).map(({ service }) => service);

/** The services of each route within the lifetime of a stream: routes may be split between services, and move. */
export class RouteHistory {
  #routes: readonly Route[] = [];
  #earlier: ReadonlyMap<Route['name'], readonly EarlierService[]> = new Map();

  /**
   * Replaces the routes.
   *
   * @param routes - the routes that are used from now on
   * @param nowMs - current time, in milliseconds
   */
  replace(routes: readonly Route[], nowMs: number): void {
    const earlier = new Map<Route['name'], readonly EarlierService[]>();
    for (const [name, services] of this.#earlier) {
      const recent = services.filter(({ untilMs }) => nowMs - untilMs <= STREAM_LIFETIME_MS);
      if (recent.length > 0) earlier.set(name, recent);
    }
    for (const route of this.#routes) {
      const left = listShares(route).map((service) => ({ service, untilMs: nowMs }));
      earlier.set(route.name, [...(earlier.get(route.name) ?? []), ...left]);
    }
    this.#earlier = earlier;
    this.#routes = routes;
  }

  /**
   * Lists the services at which a stream of a route that can still be resumed may have begun.
   *
   * @param route - the route
   * @param nowMs - current time, in milliseconds
   * @returns the services, in no particular order
   */
  listServices(route: Route, nowMs: number): readonly ServiceName[] {
    const earlier = this.#earlier.get(route.name) ?? [];
    const recent = earlier.filter(({ untilMs }) => nowMs - untilMs <= STREAM_LIFETIME_MS);
    return [...new Set([...listShares(route), ...recent.map(({ service }) => service)])];
  }

  /**
   * Lists the services that share a route with others, so that the route does not tell where a stream began.
   *
   * @param nowMs - current time, in milliseconds
   * @returns the services
   */
  listMixed(nowMs: number): ReadonlySet<ServiceName> {
    const services = this.#routes
      .filter(({ isResumable }) => isResumable)
      .map((route) => this.listServices(route, nowMs));
    return new Set(services.filter(({ length }) => length > 1).flat());
  }
}
