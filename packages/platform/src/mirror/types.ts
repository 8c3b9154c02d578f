/** An object as the store's feed gives it. */
export interface FeedObject {
  readonly name: string;
  /** Its content as parsed JSON; its shape is the reader's matter. */
  readonly value: unknown;
  /** The store's revision of its last change. */
  readonly version: number;
  /** It is marked for removal. */
  readonly isDeleting: boolean;
}

/** One change that a watch brought. */
export interface FeedChange {
  readonly object: FeedObject;
  readonly isRemoved: boolean;
}

/** A page of a kind's objects. */
export interface FeedPage {
  readonly objects: readonly FeedObject[];
  /** Name after which the next page begins; undefined on the last. */
  readonly next: string | undefined;
  /** Revision to watch from. */
  readonly version: number;
}

/** What a watch brought. */
export interface FeedChanges {
  readonly changes: readonly FeedChange[];
  /** Revision to watch from next. */
  readonly version: number;
}

/**
 * Reads objects of the store as they are and as they change.
 *
 * Every method rejects with PlatformError; a watch whose history is gone rejects as `truncated`.
 */
export interface ObjectFeed {
  readonly listPage: (kind: string, after: string | undefined) => Promise<FeedPage>;
  readonly watchChanges: (kind: string, version: number, waitMs: number) => Promise<FeedChanges>;
}
