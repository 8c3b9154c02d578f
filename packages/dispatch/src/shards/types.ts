/** What a daemon last heard of a shard. */
export interface ShardView<Key extends string = string> {
  readonly key: Key;
  /** Requests that waited at its dispatcher, and those that this daemon has sent there since. */
  readonly queued: number;
  readonly freeSlots: number;
  readonly slots: number;
  /** How long a request holds a slot there. */
  readonly holdMs: number;
  /** When this was known; undefined where nothing is. */
  readonly knownAtMs: number | undefined;
  readonly isReachable: boolean;
  /** What going there costs on top: 0 in the own data centre. */
  readonly distanceMs: number;
}

/** How a daemon chooses among shards. */
export interface ShardChoice<Key extends string = string> {
  readonly shards: readonly ShardView<Key>[];
  /** The first prefix block of the prompt; undefined for prompts too short to have one. */
  readonly prefixBlock: number | undefined;
  /** How many shards are compared; 2 but for comparisons. */
  readonly choices?: number;
  readonly nowMs: number;
}
