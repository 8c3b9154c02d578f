import * as z from 'zod';

import { decodeWindows, encodeWindows } from './windowCounts.js';
import { computeWindow } from './windows.js';

import type { UsageRecord, WorkspaceCounts } from './types.js';

/** Name of the object that holds the record. */
export const USAGE_OBJECT = 'usage';

/** Number of reports that the record holds: those that are still repeated, and some more. */
export const RECORDED_REPORTS = 10;

const countSchema = z.number().int().nonnegative();

const recordSchema = z.object({
  era: countSchema,
  highest_window: countSchema,
  reports: z
    .array(z.object({ window_seq: countSchema, counts: z.record(z.string(), countSchema) }))
    .max(2 * RECORDED_REPORTS),
});

/**
 * Decodes the record.
 *
 * @param value - value of the object in the store
 * @returns the record, or undefined if the value is none
 */
export const decodeUsageRecord = (value: unknown): UsageRecord | undefined => {
  const result = recordSchema.safeParse(value);
  if (!result.success) return undefined;
  const { era, highest_window: highestWindow, reports } = result.data;
  return { era, highestWindow, reports: decodeWindows(reports) };
};

/**
 * Encodes the record.
 *
 * @param record - the record
 * @returns the value of the object in the store
 */
export const encodeUsageRecord = ({ era, highestWindow, reports }: UsageRecord): unknown => ({
  era,
  highest_window: highestWindow,
  reports: encodeWindows(reports),
});

const keepLatest = (
  reports: ReadonlyMap<number, WorkspaceCounts>,
): ReadonlyMap<number, WorkspaceCounts> =>
  new Map([...reports].sort(([a], [b]) => a - b).slice(-RECORDED_REPORTS));

/**
 * Adds reports of windows that follow those of the record.
 *
 * @param record - the record
 * @param reports - the new reports
 * @returns the record with them
 */
export const addReports = (
  record: UsageRecord,
  reports: ReadonlyMap<number, WorkspaceCounts>,
): UsageRecord => ({
  ...record,
  highestWindow: Math.max(record.highestWindow, ...reports.keys()),
  reports: keepLatest(new Map([...record.reports, ...reports])),
});

/** What a VM knows when it reads the record. */
export interface RecordContext {
  /** Era of the store. */
  readonly era: number;
  /** Latest time at which the record may have been read, in milliseconds. */
  readonly readUntilMs: number;
  readonly windowMs: number;
  /** Reports that this process has recorded itself. */
  readonly own: ReadonlyMap<number, WorkspaceCounts>;
}

/**
 * Derives the record that applies from what has been read. A record of an earlier era may lack reports that had been sent
 * before the restore, and a write from before the restore may have replaced it since then. So no window that had ended by
 * the time of the read is reported, except with the content that this process has recorded itself. The same holds if there is
 * no record.
 *
 * @param stored - the record that was read; undefined if there is none or it is unreadable
 * @param context - what this VM knows
 * @returns the record that applies
 */
export const deriveRecord = (
  stored: UsageRecord | undefined,
  { era, readUntilMs, windowMs, own }: RecordContext,
): UsageRecord => {
  if (stored?.era === era) return stored;
  const endedWindow = computeWindow(readUntilMs, windowMs) - 1;
  const highestWindow = Math.max(endedWindow, stored?.highestWindow ?? 0, ...own.keys());
  return { era, highestWindow, reports: keepLatest(own) };
};
