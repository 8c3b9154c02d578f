import type { Branded, DataCentreName, ServiceName, WorkspaceName } from '@sardinegrade/common';

import type { RouteKind } from './enums.js';

/** Name of a route, unique within one configuration. */
export type RouteName = Branded<'RouteName'>;

/** A service and its share of a route's traffic. */
export interface ServiceShare {
  readonly service: ServiceName;
  /** Relative to the other shares of the route; a service of weight 0 receives no requests. */
  readonly weight: number;
}

/** How requests to one host and path prefix are served. */
export interface Route {
  readonly name: RouteName;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Upper bound of a request's time limit, in milliseconds; a shorter deadline of the caller takes precedence. */
  readonly timeoutMs: number;
  /** Latency target for the answer, or for a stream's first event, in milliseconds. */
  readonly targetMs: number;
  /** Priority among routes; 0 is the most urgent. */
  readonly priority: number;
  /**
   * Maximum number of workers that may run the same request; sends that never reached a worker or that it rejected do not
   * count.
   */
  readonly maxRuns: number;
  /** Whether requests are served without an API key. */
  readonly isPublic: boolean;
  /** Whether an interrupted stream may be resumed on another worker. */
  readonly isResumable: boolean;
  /** Latency target for the gap between two events, in milliseconds; 0 if there is none. */
  readonly eventGapMs: number;
  readonly shares: readonly ServiceShare[];
}

/** Capacity of each model engine of a service. */
export interface EngineCapacity {
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Tokens in the KV cache, which the prefix cache and running requests share. */
  readonly cacheTokens: number;
}

/** Bounds and prices for the number of workers of a service. */
export interface ScalingBounds {
  /** Minimum and maximum number of workers in one data centre, both kinds together. */
  readonly min: number;
  readonly max: number;
  /** Time from an order until a new worker serves, in milliseconds. */
  readonly bootMs: number;
  /** Price of a spot worker, as a share of an ordinary one's. */
  readonly spotPrice: number | undefined;
  /** Price of a second of a worker, by data centre. */
  readonly prices: ReadonlyMap<DataCentreName, number>;
}

/** A group of interchangeable workers. */
export interface RoutedService {
  readonly name: ServiceName;
  /** Maximum number of connections to one worker, summed over all VMs. Not enforced by the forwarder. */
  readonly connectionLimit: number;
  /** Undefined for services that are not model engines ("plain" services). */
  readonly engine: EngineCapacity | undefined;
  /** Undefined if its number of workers is not ours to decide. */
  readonly scaling?: ScalingBounds | undefined;
}

/** Size limits and timeouts for callers' requests and connections. */
export interface CallerLimits {
  /** Maximum size of a request head. Not enforced by the forwarder. */
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The workspace to which an API key belongs. */
export interface KeyHolder {
  readonly workspace: WorkspaceName;
  /** Takes precedence over the route's priority; undefined if the workspace has none. */
  readonly priority: number | undefined;
}

/** One version of the operator's configuration. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, RoutedService>;
  readonly limits: CallerLimits;
  /** Workspaces by API key; undefined if the deployment uses no keys. */
  readonly keyHolders: ReadonlyMap<string, KeyHolder> | undefined;
}
