import type { PlatformError } from '../PlatformError.js';
import type { SyncSource } from './enums.js';

/**
 * Position in the history of the store. A store that is restored from an older copy gives out revisions again, so that two
 * revisions can be compared only if they belong to the same era.
 */
export interface StoreVersion {
  /** Number of times that the store has been restored from a copy. */
  readonly era: number;
  readonly revision: number;
}

/** Object of the store's feed. */
export interface FeedObject {
  readonly name: string;
  /** Content as parsed JSON; readers have to validate it. */
  readonly value: unknown;
  /** Revision of the last change of this object; every change in one era of the store gets a higher one. */
  readonly revision: number;
  /** Whether the object is marked for removal. */
  readonly isDeleting: boolean;
  /** Why the value was left out and is null; undefined for a value as it was received. */
  readonly fault?: string;
}

/** One change returned by a watch. */
export interface FeedChange {
  readonly object: FeedObject;
  readonly isRemoved: boolean;
}

/** A page of a kind's objects. */
export interface FeedPage {
  readonly objects: readonly FeedObject[];
  /** Name after which the next page begins; undefined on the last. */
  readonly next: string | undefined;
  /** Version to watch from. */
  readonly version: StoreVersion;
}

/** All objects of a kind as of a version. */
export interface FeedSnapshot {
  readonly version: StoreVersion;
  readonly objects: readonly FeedObject[];
}

/** Changes of a kind between two versions, as another VM has applied them. */
export interface FeedDelta {
  /** Version up to which all changes have been applied. */
  readonly version: StoreVersion;
  /** Version of the newest change. */
  readonly changeVersion: StoreVersion;
  readonly changed: readonly FeedObject[];
  /** Names of all objects: others have been removed. */
  readonly names: readonly string[];
}

/** A watch that a VM keeps for others. */
export interface PeerWatch {
  /** Version up to which the VM has applied all changes. */
  readonly version: StoreVersion;
  /** Time since the store last answered the VM about objects of the kind, in milliseconds. */
  readonly answerAgeMs: number;
}

/** Another VM that has applied a change which this VM may have missed. */
export interface SyncPeer {
  /** Version of the newest change that the peer has applied. */
  readonly changeVersion: StoreVersion;
  /** The peer's watch, if it watches for others. */
  readonly watch?: PeerWatch | undefined;
  /** Fetches the changes since a version from a peer that watches for others. Rejects with PlatformError. */
  readonly fetchDelta?: (since: StoreVersion) => Promise<FeedDelta>;
  /** Fetches all objects from the peer. Rejects with PlatformError. */
  readonly fetchSnapshot: () => Promise<FeedSnapshot>;
}

/** Changes of a kind since the watched version. */
export interface FeedChanges {
  readonly changes: readonly FeedChange[];
  /** Version to watch from next. */
  readonly version: StoreVersion;
}

/**
 * Lists objects of the store and watches their changes. The store is the object API of the host platform, or another
 * implementation of this interface.
 *
 * Every method rejects with PlatformError; a watch whose history is no longer available rejects as `truncated`.
 */
export interface ObjectFeed {
  readonly listPage: (kind: string, after: string | undefined) => Promise<FeedPage>;
  /** Aborts when the signal does. */
  readonly watchChanges: (
    kind: string,
    version: number,
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<FeedChanges>;
}

/** Origin of objects or changes that were received. */
export interface SyncReceipt {
  readonly source: SyncSource;
  /** Store version of the answer. */
  readonly version: StoreVersion;
  /** Time since the previous answer for this kind of objects, in milliseconds. */
  readonly silentMs: number;
}

/** A list, watch or fetch from a peer that failed. */
export interface FailedSyncCall {
  readonly source: SyncSource;
  /** Version that was watched from; undefined for a list. */
  readonly version: StoreVersion | undefined;
  readonly durationMs: number;
  readonly error: PlatformError;
}
