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

/** What group commit works with. */
export interface ShardingOptions {
  readonly platform: PlatformClient;
  readonly shardCount: number;
  /** How long the first write of a group waits for others. */
  readonly gatherMs: number;
  readonly sleep: (durationMs: number) => Promise<void>;
  readonly newId: () => string;
}

const SHARD_KIND = 'order-shard';
const SEGMENT_KIND = 'order-segment';

/** Settled records in a shard before they move to a segment of their own. */
const SEAL_COUNT = 200;
const HASH_PRIME = 31;
const EMPTY: ShardValue = { sequence: 0, records: {} };

/**
 * Picks the shard of a record.
 *
 * @param name - the record's name
 * @param shardCount - how many shards there are
 * @returns the shard's index
 */
export const pickShard = (name: string, shardCount: number): number => {
  let hash = 0;
  for (const character of name) hash = (hash * HASH_PRIME + character.charCodeAt(0)) >>> 0;
  return hash % shardCount;
};

const isSettled = ({ state }: OrderRecord): boolean =>
  state === OrderState.Done || state === OrderState.NotRun;

/** The writes of one daemon to one shard, committed in groups. */
class ShardCommitter {
  private pending: PendingWrite[] = [];
  private isRunning = false;
  private version = 0;
  private value: ShardValue = EMPTY;

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
    this.keepCurrent(await this.options.platform.read(SHARD_KIND, this.name));
    return this.value.records[name];
  }

  private async run(): Promise<void> {
    this.isRunning = true;
    while (this.pending.length > 0) {
      await this.options.sleep(this.options.gatherMs);
      const group = this.pending;
      this.pending = [];
      await this.writeGroup(group);
      await this.moveSettled();
    }
    this.isRunning = false;
  }

  /** Moves settled records out, so that a commit stays small; the next commit writes the shard without them. */
  private async moveSettled(): Promise<void> {
    const settled = Object.entries(this.value.records).filter(([, { value }]) =>
      isSettled(value as OrderRecord),
    );
    if (settled.length < SEAL_COUNT) return;
    const name = this.options.newId();
    const segment = { kind: SEGMENT_KIND, name, ifVersion: 0, changeId: name };
    try {
      await this.options.platform.write({ ...segment, value: Object.fromEntries(settled) });
    } catch {
      return;
    }
    const records = { ...this.value.records };
    for (const [sealed] of settled) Reflect.deleteProperty(records, sealed);
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
            const own = results[index];
            if (own !== undefined) pending.resolve(own);
          }
          return;
        }
        this.keepCurrent(result.current);
      }
    } catch (error) {
      for (const { reject } of group) reject(error);
    }
  }

  /** Evaluates each write's condition against the shard as it is known. */
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

  private keepCurrent(object: PlatformObject | undefined): void {
    if (object === undefined || object.version <= this.version) return;
    this.version = object.version;
    this.value = object.value as ShardValue;
  }
}

/**
 * Puts group commit between order records and the platform.
 *
 * @param options - the platform, the number of shards and how long groups gather
 * @returns a client whose records share objects; it only reads and writes records
 */
export const createShardedPlatform = (options: ShardingOptions): PlatformClient => {
  const committers = new Map<number, ShardCommitter>();

  const getCommitter = (name: string): ShardCommitter => {
    const shard = pickShard(name, options.shardCount);
    const committer = committers.get(shard) ?? new ShardCommitter(options, `shard-${shard}`);
    committers.set(shard, committer);
    return committer;
  };

  const refuse = (): Promise<never> =>
    Promise.reject(new PlatformError(PlatformFailure.Invalid, 'Shards only hold records.'));

  return {
    read: (_, name) => getCommitter(name).read(name),
    write: (write) => getCommitter(write.name).write(write),
    list: refuse,
    remove: refuse,
    watch: refuse,
    listVms: refuse,
  };
};
