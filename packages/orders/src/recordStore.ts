import { SardinegradeError } from '@sardinegrade/common';
import { PlatformError, PlatformFailure, WriteOutcome } from '@sardinegrade/platform';

import { DOWN_AFTER_FAILURES, ORDER_KIND, RETRY_FIRST_MS, RETRY_LONGEST_MS } from './constants.js';
import { SaveOutcome } from './enums.js';
import { parseStoredOrder } from './recordSchema.js';

import type { ObjectWrite, PlatformObject } from '@sardinegrade/platform';
import type { OrderRecord, OrderServiceOptions, SaveResult, StoredOrder } from './types.js';

/** One intended change of a record. */
export interface RecordChange {
  readonly name: string;
  /** 0 where the record must not exist yet. */
  readonly ifVersion: number;
  readonly record: OrderRecord;
  /** Until when a failed write is tried again, by the monotonic clock. */
  readonly giveUpAtMs: number;
}

/** A page of records. */
export interface RecordPage {
  readonly orders: readonly StoredOrder[];
  readonly next: string | undefined;
}

/** Order records in the platform, one object each. */
export interface RecordStore {
  readonly read: (name: string) => Promise<StoredOrder | undefined>;
  readonly list: (after: string | undefined) => Promise<RecordPage>;
  /** Writes a record; never rejects. */
  readonly writeRecord: (change: RecordChange) => Promise<SaveResult>;
  /** Removes a record that still has its version; never rejects. */
  readonly remove: (stored: StoredOrder) => Promise<boolean>;
}

type StoreOptions = Pick<
  OrderServiceOptions,
  'platform' | 'getMonotonicMs' | 'sleep' | 'newId' | 'writeBudget' | 'onIncident'
>;

const isUncertain = (error: unknown): boolean =>
  !(error instanceof PlatformError) || error.failure === PlatformFailure.Uncertain;

const isLimited = (error: unknown): boolean =>
  error instanceof PlatformError && error.failure === PlatformFailure.Limited;

/** Trying again is of no use: the platform refuses the value, or holds a record that cannot be read. */
const isInvalid = (error: unknown): boolean =>
  error instanceof PlatformError
    ? error.failure === PlatformFailure.Invalid
    : error instanceof SardinegradeError;

const toStored = (object: PlatformObject | undefined): StoredOrder | undefined =>
  object === undefined ? undefined : parseStoredOrder(object);

/** What stands in the way of a write need not be a record; the write has had no effect all the same. */
const findReadable = (object: PlatformObject | undefined): StoredOrder | undefined => {
  try {
    return toStored(object);
  } catch {
    return undefined;
  }
};

/** How the platform has answered lately, over all writes of a daemon. */
interface PlatformHealth {
  /** Failed writes since the last answered one. */
  failures: number;
}

/** One write under way, whose earlier tries may have taken effect or may yet. */
class PendingWrite {
  private mayTakeEffect = false;
  private tries = 0;
  private readonly write: ObjectWrite;

  constructor(
    private readonly options: StoreOptions,
    private readonly change: RecordChange,
    private readonly health: PlatformHealth,
  ) {
    const { name, ifVersion, record } = change;
    this.write = { kind: ORDER_KIND, name, ifVersion, changeId: options.newId(), value: record };
  }

  async run(): Promise<SaveResult> {
    let delayMs = RETRY_FIRST_MS;
    for (;;) {
      const { result, cause } = await this.step();
      if (result !== undefined) return result;
      if (isInvalid(cause) || this.shouldGiveUp(delayMs)) {
        const outcome = this.mayTakeEffect ? SaveOutcome.Uncertain : SaveOutcome.NotSaved;
        return { outcome, cause };
      }
      await this.options.sleep(delayMs);
      delayMs = Math.min(2 * delayMs, RETRY_LONGEST_MS);
    }
  }

  /** While the platform is down, a write that may be given up is tried once. */
  private shouldGiveUp(delayMs: number): boolean {
    const { giveUpAtMs } = this.change;
    if (giveUpAtMs === Infinity) return false;
    const isDown = this.health.failures >= DOWN_AFTER_FAILURES;
    return isDown || this.options.getMonotonicMs() + delayMs > giveUpAtMs;
  }

  private async step(): Promise<{ result?: SaveResult; cause?: unknown }> {
    try {
      // A write whose answer was lost is read back before it is sent again.
      const seen = this.mayTakeEffect ? await this.readBack() : undefined;
      return { result: seen ?? (await this.send()) };
    } catch (error) {
      return { cause: error };
    }
  }

  private async send(): Promise<SaveResult> {
    // The first try is counted by whoever reserved it.
    if (this.tries > 0) this.options.writeBudget.use(1);
    this.tries += 1;
    try {
      const result = await this.options.platform.write(this.write);
      this.options.writeBudget.onWritten();
      this.health.failures = 0;
      if (result.outcome === WriteOutcome.Written) return this.buildSaved(result.version);
      return this.compareCurrent(result.current);
    } catch (error) {
      this.mayTakeEffect ||= isUncertain(error);
      if (isLimited(error)) this.options.writeBudget.onLimited();
      else this.health.failures += 1;
      throw error;
    }
  }

  private async readBack(): Promise<SaveResult | undefined> {
    const current = await this.options.platform.read(ORDER_KIND, this.write.name);
    if ((current?.version ?? 0) === this.write.ifVersion) return undefined;
    return this.compareCurrent(current);
  }

  private compareCurrent(current: PlatformObject | undefined): SaveResult {
    if (current?.changeId === this.write.changeId) return this.buildSaved(current.version);
    return { outcome: SaveOutcome.Conflict, current: findReadable(current) };
  }

  private buildSaved(version: number): SaveResult {
    const { name, record } = this.change;
    return { outcome: SaveOutcome.Saved, stored: { name, version, record } };
  }
}

/**
 * Creates the store of order records.
 *
 * @param options - the platform's client, time and ids
 * @returns the store
 */
export const createRecordStore = (options: StoreOptions): RecordStore => {
  const { platform } = options;
  const health: PlatformHealth = { failures: 0 };

  const read = async (name: string): Promise<StoredOrder | undefined> =>
    toStored(await platform.read(ORDER_KIND, name));

  /** One record that cannot be read does not hide the others. */
  const readListed = (object: PlatformObject): readonly StoredOrder[] => {
    try {
      return [parseStoredOrder(object)];
    } catch (error) {
      options.onIncident(`A record cannot be read: ${String(error)}`, object.name);
      return [];
    }
  };

  const list = async (after: string | undefined): Promise<RecordPage> => {
    const page = await platform.list(ORDER_KIND, '', after);
    return { orders: page.objects.flatMap(readListed), next: page.next };
  };

  const writeRecord = (change: RecordChange): Promise<SaveResult> =>
    new PendingWrite(options, change, health).run();

  const remove = async (stored: StoredOrder): Promise<boolean> => {
    options.writeBudget.use(1);
    try {
      const result = await platform.remove(ORDER_KIND, stored.name, stored.version);
      return result.outcome === WriteOutcome.Written;
    } catch {
      return false;
    }
  };

  return { read, list, writeRecord, remove };
};
