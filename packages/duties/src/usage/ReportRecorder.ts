import { isSameCounts } from './mergeCounts.js';
import {
  addReports,
  decodeUsageRecord,
  deriveRecord,
  encodeUsageRecord,
  RECORDED_REPORTS,
  USAGE_OBJECT,
} from './usageRecord.js';

import type { Logger, LogLimit } from '@sardinegrade/common';
import type { DutyStore } from '../types.js';
import type { FleetClock } from './FleetClock.js';
import type { UsageRecord, WorkspaceCounts } from './types.js';

/** Where reports are recorded. */
export interface ReportRecorderOptions {
  readonly store: DutyStore;
  readonly clock: FleetClock;
  readonly windowMs: number;
  readonly logger: Logger;
  readonly logLimit: LogLimit;
}

/** The record as it was read or written last. */
interface RecordBasis {
  readonly record: UsageRecord;
  readonly version: number | undefined;
}

/**
 * Records reports in the store before they are sent. Only conditional writes that have been confirmed count: after any other
 * outcome the record is read again, since the write may have been executed or may be executed later.
 */
export class ReportRecorder {
  #basis: RecordBasis | undefined;
  /** The last reports that this process has recorded itself. */
  #own: ReadonlyMap<number, WorkspaceCounts> = new Map();

  /** @param options - the store and the clock */
  constructor(private readonly options: ReportRecorderOptions) {}

  /** The record that applies; undefined if it has to be read. */
  get record(): UsageRecord | undefined {
    if (this.#basis?.record.era !== this.options.store.getEra()) return undefined;
    return this.#basis.record;
  }

  /** Drops what has been read: another VM may have changed it. */
  reset(): void {
    this.#basis = undefined;
  }

  /**
   * Reads the record unless it is known.
   *
   * @returns the record that applies
   * @throws PlatformError if the store does not respond
   */
  async read(): Promise<UsageRecord> {
    const known = this.record;
    if (known !== undefined) return known;
    const { store, clock, windowMs, logger } = this.options;
    const object = await store.read(USAGE_OBJECT);
    const stored = object && decodeUsageRecord(object.value);
    if (object !== undefined && stored === undefined)
      logger.warn('unreadable record of usage reports is replaced', {
        inputs: { name: USAGE_OBJECT, version: object.version },
      });
    const era = store.getEra();
    const context = { era, readUntilMs: clock.latestTimeMs, windowMs, own: this.#own };
    const record = deriveRecord(stored, context);
    if (stored?.era !== era)
      logger.info('usage reports begin after the windows that have ended', {
        inputs: { era, recordedEra: stored?.era, highestWindow: record.highestWindow },
      });
    this.#basis = { record, version: object?.version };
    return record;
  }

  /**
   * Records reports of windows above the highest recorded one.
   *
   * @param reports - the reports, by window
   * @returns whether they are recorded; if not, the record has to be read again
   * @throws PlatformError if it is not known whether they are recorded
   */
  async add(reports: ReadonlyMap<number, WorkspaceCounts>): Promise<boolean> {
    const { store } = this.options;
    const basis = this.#basis;
    if (basis === undefined || this.record === undefined) return false;
    const { record: base, version } = basis;
    const record = addReports(base, reports);
    this.#basis = undefined;
    const written = await store.write(USAGE_OBJECT, encodeUsageRecord(record), version);
    // After a restore the version may name another state, so that the write has replaced what it does not know.
    if (written === undefined || store.getEra() !== record.era) return false;
    this.#basis = { record, version: written };
    this.#own = new Map([...this.#own, ...reports].slice(-RECORDED_REPORTS));
    return true;
  }

  /**
   * Lists the reports that may be sent: what is recorded, and what this process has recorded itself, which a restore of the
   * store may have removed.
   *
   * @returns the reports, by window
   */
  listReports(): ReadonlyMap<number, WorkspaceCounts> {
    const { record } = this;
    const reports = new Map([...this.#own, ...(record?.reports ?? [])]);
    for (const [window, counts] of this.#own) {
      const recorded = record?.reports.get(window);
      if (recorded === undefined || isSameCounts(recorded, counts)) continue;
      reports.delete(window);
      this.#logContradiction(window);
    }
    return reports;
  }

  #logContradiction(window: number): void {
    const count = this.options.logLimit.record('contradiction');
    if (count === undefined) return;
    this.options.logger.error('usage report is not sent: its record has another content', {
      count,
      inputs: { window, era: this.record?.era },
    });
  }
}
