/** The latest state of a shard that a daemon has received. */
export interface ShardView<Key extends string = string> {
  readonly key: Key;
  /** Requests that were waiting at its dispatcher at `updatedAtMs`, plus those that this daemon sent there since. */
  readonly queued: number;
  readonly freeSlots: number;
  readonly slots: number;
  /** How long a request occupies a slot there, in milliseconds. */
  readonly holdMs: number;
  /** When this state was reported; undefined if none has been received. */
  readonly updatedAtMs: number | undefined;
  readonly isReachable: boolean;
  /** Additional network delay in milliseconds: 0 in the daemon's own data centre. */
  readonly networkDelayMs: number;
}

/** Input for choosing a shard. */
export interface ShardChoice<Key extends string = string> {
  readonly shards: readonly ShardView<Key>[];
  /** The first prefix block of the prompt; undefined for prompts too short to have one. */
  readonly prefixBlock: number | undefined;
  /** How many random shards are compared; 2 by default, other values are used by benchmarks. */
  readonly choices?: number;
  readonly nowMs: number;
}
