import { SardinegradeError } from '@sardinegrade/common';
import { PlatformError, PlatformFailure, WriteOutcome } from '@sardinegrade/platform';

import {
  DOWN_AFTER_FAILURES,
  ORDER_KIND,
  RETRY_INITIAL_DELAY_MS,
  RETRY_MAX_DELAY_MS,
} from './constants.js';
import { SaveOutcome } from './enums.js';
import { parseStoredOrder } from './recordSchema.js';

import type { ObjectWrite, PlatformObject } from '@sardinegrade/platform';
import type { OrderRecord, OrderServiceOptions, SaveResult, StoredOrder } from './types.js';

/** A change of a record to be written. */
export interface RecordChange {
  readonly name: string;
  /** Version that the record must have; 0 if it must not exist yet. */
  readonly ifVersion: number;
  readonly record: OrderRecord;
  /** Time by the monotonic clock after which a failed write is not retried; Infinity for no limit. */
  readonly giveUpAtMs: number;
}

/** A page of records. */
export interface RecordPage {
  readonly orders: readonly StoredOrder[];
  /** Where the next page starts; undefined on the last one. */
  readonly next: string | undefined;
}

/** Access to order records; each is one platform object. */
export interface RecordStore {
  readonly read: (name: string) => Promise<StoredOrder | undefined>;
  readonly list: (after: string | undefined) => Promise<RecordPage>;
  /** Writes a record; never rejects. */
  readonly writeRecord: (change: RecordChange) => Promise<SaveResult>;
  /** Removes a record if its version has not changed; never rejects. */
  readonly remove: (stored: StoredOrder) => Promise<boolean>;
}

type StoreOptions = Pick<
  OrderServiceOptions,
  'platform' | 'getMonotonicMs' | 'sleep' | 'newId' | 'writeBudget' | 'onIncident'
>;

const isUncertain = (error: unknown): boolean =>
  !(error instanceof PlatformError) || error.failure === PlatformFailure.Uncertain;

const isRateLimited = (error: unknown): boolean =>
  error instanceof PlatformError && error.failure === PlatformFailure.Limited;

/** Whether a retry cannot succeed: the platform rejects the value, or the stored record cannot be parsed. */
const isPermanentFailure = (error: unknown): boolean =>
  error instanceof PlatformError
    ? error.failure === PlatformFailure.Invalid
    : error instanceof SardinegradeError;

const toStored = (object: PlatformObject | undefined): StoredOrder | undefined =>
  object === undefined ? undefined : parseStoredOrder(object);

/** Parses the object that a write conflicted with. It may be an invalid record; the write had no effect either way. */
const parseIfReadable = (object: PlatformObject | undefined): StoredOrder | undefined => {
  try {
    return toStored(object);
  } catch {
    return undefined;
  }
};

/** Recent health of the platform, across all writes of a daemon. */
interface PlatformHealth {
  /** Failed writes since the last one that the platform answered. */
  consecutiveFailures: number;
}

/** A write in progress. Earlier attempts may have taken effect, or may do so later. */
class PendingWrite {
  private hasUncertainAttempt = false;
  private attemptCount = 0;
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
    let delayMs = RETRY_INITIAL_DELAY_MS;
    for (;;) {
      const { result, cause } = await this.performAttempt();
      if (result !== undefined) return result;
      if (isPermanentFailure(cause) || this.shouldGiveUp(delayMs)) {
        const outcome = this.hasUncertainAttempt ? SaveOutcome.Uncertain : SaveOutcome.NotSaved;
        return { outcome, cause };
      }
      await this.options.sleep(delayMs);
      delayMs = Math.min(2 * delayMs, RETRY_MAX_DELAY_MS);
    }
  }

  /** A write with a time limit is not retried while the platform is down. */
  private shouldGiveUp(delayMs: number): boolean {
    const { giveUpAtMs } = this.change;
    if (giveUpAtMs === Infinity) return false;
    const isDown = this.health.consecutiveFailures >= DOWN_AFTER_FAILURES;
    return isDown || this.options.getMonotonicMs() + delayMs > giveUpAtMs;
  }

  private async performAttempt(): Promise<{ result?: SaveResult; cause?: unknown }> {
    try {
      // After an attempt with an unknown outcome, the record is read back before the write is sent again.
      const existing = this.hasUncertainAttempt ? await this.readBack() : undefined;
      return { result: existing ?? (await this.send()) };
    } catch (error) {
      return { cause: error };
    }
  }

  private async send(): Promise<SaveResult> {
    // The caller has already counted the first attempt in the write budget.
    if (this.attemptCount > 0) this.options.writeBudget.use(1);
    this.attemptCount += 1;
    try {
      const result = await this.options.platform.write(this.write);
      this.options.writeBudget.handleWriteSuccess();
      this.health.consecutiveFailures = 0;
      if (result.outcome === WriteOutcome.Written) return this.buildSaved(result.version);
      return this.compareCurrent(result.current);
    } catch (error) {
      this.hasUncertainAttempt ||= isUncertain(error);
      if (isRateLimited(error)) this.options.writeBudget.handleRateLimit();
      else this.health.consecutiveFailures += 1;
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
    return { outcome: SaveOutcome.Conflict, current: parseIfReadable(current) };
  }

  private buildSaved(version: number): SaveResult {
    const { name, record } = this.change;
    return { outcome: SaveOutcome.Saved, stored: { name, version, record } };
  }
}

/**
 * Creates the store of order records.
 *
 * @param options - platform client, clocks, id source and write budget
 * @returns the store
 */
export const createRecordStore = (options: StoreOptions): RecordStore => {
  const { platform } = options;
  const health: PlatformHealth = { consecutiveFailures: 0 };

  const read = async (name: string): Promise<StoredOrder | undefined> =>
    toStored(await platform.read(ORDER_KIND, name));

  /** Skips and reports a record that cannot be parsed, so that the others are still listed. */
  const parseListed = (object: PlatformObject): readonly StoredOrder[] => {
    try {
      return [parseStoredOrder(object)];
    } catch (error) {
      options.onIncident(`order record cannot be read: ${String(error)}`, object.name);
      return [];
    }
  };

  const list = async (after: string | undefined): Promise<RecordPage> => {
    const page = await platform.list(ORDER_KIND, '', after);
    return { orders: page.objects.flatMap(parseListed), next: page.next };
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
