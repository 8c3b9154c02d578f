import { computePriorityRank } from './computePriorityRank.js';

import type { ServiceName } from '@sardinegrade/common';
import type { KeyHolder, Route } from '../configuration/index.js';

/** Most and least urgent rank of the requests of a service. */
interface RankRange {
  readonly first: number;
  readonly last: number;
}

/** Lists the workspace priorities that requests of a route may have. */
const listPriorities = (
  { isPublic }: Route,
  holders: ReadonlyMap<string, KeyHolder> | undefined,
): ReadonlySet<number | undefined> => {
  const priorities = new Set([...(holders?.values() ?? [])].map(({ priority }) => priority));
  return holders === undefined || isPublic ? priorities.add(undefined) : priorities;
};

const listRanges = (
  routes: readonly Route[],
  holders: ReadonlyMap<string, KeyHolder> | undefined,
): ReadonlyMap<ServiceName, RankRange> => {
  const ranges = new Map<ServiceName, RankRange>();
  for (const route of routes) {
    const priorities = [...listPriorities(route, holders)];
    const ranks = priorities.map((priority) => computePriorityRank(priority, route.priority));
    for (const { service, weight } of route.shares) {
      if (weight === 0) continue;
      const { first, last } = ranges.get(service) ?? { first: Infinity, last: -Infinity };
      ranges.set(service, { first: Math.min(first, ...ranks), last: Math.max(last, ...ranks) });
    }
  }
  return ranges;
};

/** Tells which requests of a service are the most urgent ones, by its routes and the priorities of the workspaces. */
export class RankTable {
  readonly #ranges: ReadonlyMap<ServiceName, RankRange>;

  /**
   * @param routes - all routes of one configuration version
   * @param holders - workspaces by API key; undefined if the deployment uses no keys
   */
  constructor(routes: readonly Route[], holders?: ReadonlyMap<string, KeyHolder>) {
    this.#ranges = listRanges(routes, holders);
  }

  /**
   * Tells whether a request is to be served before others of its service, and none before it.
   *
   * @param service - service of the request
   * @param rank - priority rank of the request
   * @returns whether no request of the service is more urgent and some are less; false if all have the same rank
   */
  isMostUrgent(service: ServiceName, rank: number): boolean {
    const range = this.#ranges.get(service);
    return range !== undefined && rank <= range.first && range.first < range.last;
  }
}
