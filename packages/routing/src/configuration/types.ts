import type { Branded, ServiceName, WorkspaceName } from '@sardinegrade/common';

import type { RouteKind } from './enums.js';

/** Identifies a route within one configuration. */
export type RouteName = Branded<'RouteName'>;

/** A service and its part of a route's requests. */
export interface ServiceShare {
  readonly service: ServiceName;
  /** Relative to the other shares of the route; 0 sends nothing. */
  readonly weight: number;
}

/** Requests with one host and path prefix, and how they are to be served. */
export interface Route {
  readonly name: RouteName;
  /** Lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time that a request is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that counts as on time, in milliseconds. */
  readonly targetMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Workers that may run one request. */
  readonly maxAttempts: number;
  /** Whether requests need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may go on at another worker. */
  readonly isResumable: boolean;
  /** Longest pause between events that counts as on time, in milliseconds; 0 where it does not apply. */
  readonly eventGapMs: number;
  readonly shares: readonly ServiceShare[];
}

/** Size of the model engines of a service. */
export interface EngineShape {
  /** Requests that run at once. */
  readonly slots: number;
  /** Tokens that the prefix cache and running requests hold together. */
  readonly cacheTokens: number;
}

/** A group of workers that answer the same requests. */
export interface RoutedService {
  readonly name: ServiceName;
  /** Connections that each worker accepts from all VMs together. */
  readonly connectionLimit: number;
  /** Undefined for plain services. */
  readonly engine: EngineShape | undefined;
}

/** What callers may send, and how slowly. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace as its keys name it. */
export interface KeyHolder {
  readonly workspace: WorkspaceName;
  /** Goes before the route's priority; undefined where the workspace has none. */
  readonly priority: number | undefined;
}

/** One version of what the operators configured. */
export interface RoutingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<ServiceName, RoutedService>;
  readonly limits: CallerLimits;
  /** Undefined where requests carry no keys. */
  readonly keyHolders: ReadonlyMap<string, KeyHolder> | undefined;
}
