/** An object of the platform's API. */
export interface PlatformObject {
  readonly kind: string;
  readonly name: string;
  /** Grows with every write to any object of the platform. */
  readonly version: number;
  /** The writer's own id of the write that made this version. */
  readonly changeId: string;
  /** JSON value, at most a megabyte when encoded. */
  readonly value: unknown;
}

/** A conditional write. */
export interface ObjectWrite {
  readonly kind: string;
  readonly name: string;
  /** The version that the object must still have; 0 where it must not exist yet. */
  readonly ifVersion: number;
  /** Unique per intended change, so that a write whose answer was lost can be recognised. */
  readonly changeId: string;
  readonly value: unknown;
}

/** One page of objects of a kind, in the order of their names. */
export interface ObjectPage {
  readonly objects: readonly PlatformObject[];
  /** Name to pass as `after` for the next page; undefined on the last. */
  readonly next: string | undefined;
}

/** One change seen by a watch. */
export interface ObjectChange {
  readonly kind: string;
  readonly name: string;
  readonly version: number;
  /** Undefined where the object was deleted. */
  readonly object: PlatformObject | undefined;
}

/** What a watch has seen. */
export interface WatchResult {
  /** The version to watch from next. */
  readonly version: number;
  readonly changes: readonly ObjectChange[];
  /** Changes were dropped: the watcher has to list anew. */
  readonly isTruncated: boolean;
}

/** A machine in the platform's list, which lags. */
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
  /** Another version stands; the write had no effect. */
  Conflict = 'conflict',
}

export type WriteResult =
  | { readonly outcome: WriteOutcome.Written; readonly version: number }
  | {
      readonly outcome: WriteOutcome.Conflict;
      readonly current: PlatformObject | undefined;
      /** The write's first answer was lost, and another writer's version stands: it may have held for a while. */
      readonly mayHaveTakenEffect?: boolean;
    };

/**
 * The platform's object API.
 *
 * Every method rejects with PlatformError: `unavailable` (outage, timeout before the call was sent),
 * `limited` (rate limit; had no effect) or, for writes, `uncertain` (the answer was lost; the write may
 * have taken effect).
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
