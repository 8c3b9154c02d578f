/** Versioned object of the platform's API. */
export interface PlatformObject {
  readonly kind: string;
  readonly name: string;
  /** Version of the last write to this object; every write to any object of the platform gets a higher one. */
  readonly version: number;
  /** Id that the writer chose for the write that created this version. */
  readonly changeId: string;
  /** JSON value, at most one megabyte when encoded. */
  readonly value: unknown;
}

/** A conditional write. */
export interface ObjectWrite {
  readonly kind: string;
  readonly name: string;
  /** Version that the object must currently have; 0 if it must not exist yet. */
  readonly ifVersion: number;
  /** Unique per intended change, so that a write whose response was lost can be identified. */
  readonly changeId: string;
  readonly value: unknown;
}

/** One page of the objects of a kind, sorted by name. */
export interface ObjectPage {
  readonly objects: readonly PlatformObject[];
  /** Name to pass as `after` for the next page; undefined on the last. */
  readonly next: string | undefined;
}

/** One change returned by a watch. */
export interface ObjectChange {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  /** Undefined if the object was deleted. */
  readonly object: PlatformObject | undefined;
}

/** Changes of a kind since the watched version. */
export interface WatchResult {
  /** The version to watch from next. */
  readonly version: number;
  readonly changes: readonly ObjectChange[];
  /** Some changes are no longer available: the watcher has to list all objects again. */
  readonly isTruncated: boolean;
}

/** VM in the platform's list, which may be out of date. */
export interface PlatformVm {
  readonly id: string;
  readonly dataCentre: string;
  readonly role: string;
  /** Address of its peer port. */
  readonly address: string;
  readonly isLeaving: boolean;
}

/** How a conditional write ended. */
export enum WriteOutcome {
  Written = 'written',
  /** The object has another version; the write had no effect, unless `mayHaveTakenEffect` is set. */
  Conflict = 'conflict',
}

export type WriteResult =
  | { readonly outcome: WriteOutcome.Written; readonly version: number }
  | {
      readonly outcome: WriteOutcome.Conflict;
      readonly current: PlatformObject | undefined;
      /** The first response was lost and the object has another writer's version, which may have replaced this write. */
      readonly mayHaveTakenEffect?: boolean;
    };

/**
 * The platform's object API.
 *
 * Every method rejects with PlatformError: `unavailable` (outage, or no response; a write had no effect), `limited`
 * (rate limit; had no effect), `invalid` (the call was rejected or the response violates the protocol) or, for writes,
 * `uncertain` (the response was lost or invalid; the write may have taken effect).
 */
export interface PlatformClient {
  readonly read: (kind: string, name: string) => Promise<PlatformObject | undefined>;
  readonly list: (kind: string, prefix: string, after?: string) => Promise<ObjectPage>;
  readonly write: (write: ObjectWrite) => Promise<WriteResult>;
  readonly remove: (kind: string, name: string, ifVersion: number) => Promise<WriteResult>;
  /** Waits until an object of the kind changes after the version, or the timeout passes. */
  readonly watch: (
    kind: string,
    afterVersion: number,
    timeoutMs: number,
    signal?: AbortSignal,
  ) => Promise<WatchResult>;
  readonly listVms: () => Promise<readonly PlatformVm[]>;
}
