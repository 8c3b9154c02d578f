import { OrderState } from '@sardinegrade/orders';
import { PlatformError, PlatformFailure, WriteOutcome } from '@sardinegrade/platform';

import type { OrderRecord } from '@sardinegrade/orders';
import type {
  ObjectWrite,
  PlatformClient,
  PlatformObject,
  WriteResult,
} from '@sardinegrade/platform';

interface ShardValue {
  readonly sequence: number;
  readonly records: Readonly<Record<string, PlatformObject>>;
}

interface PendingWrite {
  readonly write: ObjectWrite;
  readonly resolve: (result: WriteResult) => void;
  readonly reject: (error: unknown) => void;
}

/** The options of group commit. */
export interface ShardingOptions {
  readonly platform: PlatformClient;
  readonly shardCount: number;
  /** How long the first write of a group waits for further writes, in milliseconds. */
  readonly groupDelayMs: number;
  readonly sleep: (durationMs: number) => Promise<void>;
  readonly newId: () => string;
}

const SHARD_KIND = 'order-shard';
const SEGMENT_KIND = 'order-segment';

/** Number of settled records in a shard at which they move to a separate segment object. */
const SEGMENT_SIZE = 200;
const HASH_PRIME = 31;
const EMPTY_SHARD: ShardValue = { sequence: 0, records: {} };

/**
 * Picks the shard of a record by a hash of its name.
 *
 * @param name - the name of the record
 * @param shardCount - the number of shards
 * @returns the index of the shard
 */
export const pickShard = (name: string, shardCount: number): number => {
  let hash = 0;
  for (const character of name) hash = (hash * HASH_PRIME + character.charCodeAt(0)) >>> 0;
  return hash % shardCount;
};

const isSettled = ({ state }: OrderRecord): boolean =>
  state === OrderState.Done || state === OrderState.NotRun;

/** Commits the writes of one daemon to one shard in groups. */
class ShardCommitter {
  private pending: PendingWrite[] = [];
  private isRunning = false;
  private version = 0;
  private value: ShardValue = EMPTY_SHARD;

  constructor(
    private readonly options: ShardingOptions,
    private readonly name: string,
  ) {}

  write(write: ObjectWrite): Promise<WriteResult> {
    return new Promise((resolve, reject) => {
      this.pending.push({ write, resolve, reject });
      if (!this.isRunning) void this.run();
    });
  }

  async read(name: string): Promise<PlatformObject | undefined> {
    this.updateCache(await this.options.platform.read(SHARD_KIND, this.name));
    return this.value.records[name];
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.pending.length > 0) {
      await this.options.sleep(this.options.groupDelayMs);
      const group = this.pending;
      this.pending = [];
      await this.writeGroup(group);
      await this.moveSettledRecords();
    }
    this.isRunning = false;
  }

  /**
   * Copies settled records to a segment and drops them from the shard, so that commits stay small.
   * The next commit writes the shard without them.
   */
  private async moveSettledRecords(): Promise<void> {
    const settled = Object.entries(this.value.records).filter(([, { value }]) =>
      isSettled(value as OrderRecord),
    );
    if (settled.length < SEGMENT_SIZE) return;
    const name = this.options.newId();
    const segment = { kind: SEGMENT_KIND, name, ifVersion: 0, changeId: name };
    try {
      await this.options.platform.write({ ...segment, value: Object.fromEntries(settled) });
    } catch {
      return;
    }
    const records = { ...this.value.records };
    for (const [settledName] of settled) Reflect.deleteProperty(records, settledName);
    this.value = { ...this.value, records };
  }

  private async writeGroup(group: readonly PendingWrite[]): Promise<void> {
    try {
      for (;;) {
        const { value, results } = this.applyGroup(group);
        const result = await this.options.platform.write({
          kind: SHARD_KIND,
          name: this.name,
          ifVersion: this.version,
          changeId: this.options.newId(),
          value,
        });
        if (result.outcome === WriteOutcome.Written) {
          this.version = result.version;
          this.value = value;
          for (const [index, pending] of group.entries()) {
            const ownResult = results[index];
            if (ownResult !== undefined) pending.resolve(ownResult);
          }
          return;
        }
        this.updateCache(result.current);
      }
    } catch (error) {
      for (const { reject } of group) reject(error);
    }
  }

  /** Applies a group of writes to the cached shard, checking the version condition of each write. */
  private applyGroup(group: readonly PendingWrite[]) {
    let { sequence } = this.value;
    const records = { ...this.value.records };
    const results = group.map(({ write }): WriteResult => {
      const { kind, name, changeId, value } = write;
      const current = records[name];
      if ((current?.version ?? 0) !== write.ifVersion) {
        return { outcome: WriteOutcome.Conflict, current };
      }
      sequence += 1;
      records[name] = { kind, name, changeId, value, version: sequence };
      return { outcome: WriteOutcome.Written, version: sequence };
    });
    return { value: { sequence, records }, results };
  }

  private updateCache(object: PlatformObject | undefined): void {
    if (object === undefined || object.version <= this.version) return;
    this.version = object.version;
    this.value = object.value as ShardValue;
  }
}

/**
 * Creates a platform client that stores many order records in each object and writes them with group
 * commit.
 *
 * @param options - the platform, the number of shards and the group delay
 * @returns a client that supports only reads and writes of records
 */
export const createShardedPlatform = (options: ShardingOptions): PlatformClient => {
  const committers = new Map<number, ShardCommitter>();

  const getCommitter = (name: string): ShardCommitter => {
    const shard = pickShard(name, options.shardCount);
    const committer = committers.get(shard) ?? new ShardCommitter(options, `shard-${shard}`);
    committers.set(shard, committer);
    return committer;
  };

  const rejectUnsupported = (): Promise<never> =>
    Promise.reject(
      new PlatformError(
        PlatformFailure.Invalid,
        'A sharded platform supports only reads and writes of records.',
      ),
    );

  return {
    read: (_, name) => getCommitter(name).read(name),
    write: (write) => getCommitter(write.name).write(write),
    list: rejectUnsupported,
    remove: rejectUnsupported,
    watch: rejectUnsupported,
    listVms: rejectUnsupported,
  };
};
