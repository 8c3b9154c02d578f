import { toBranded } from '@sardinegrade/common';

import type { WorkspaceCounts } from './types.js';

/** Counts of a window as JSON holds them. */
export interface EncodedWindow {
  readonly window_seq: number;
  readonly counts: Readonly<Record<string, number>>;
}

/**
 * Encodes counts by window.
 *
 * @param windows - counts by number of the window
 * @returns values for JSON
 */
export const encodeWindows = (
  windows: ReadonlyMap<number, WorkspaceCounts>,
): readonly EncodedWindow[] =>
  [...windows].map(([window_seq, counts]) => ({ window_seq, counts: Object.fromEntries(counts) }));

const decodeCounts = (counts: Readonly<Record<string, number>>): WorkspaceCounts =>
  new Map(Object.entries(counts).map(([workspace, count]) => [toBranded(workspace), count]));

/**
 * Decodes counts by window.
 *
 * @param windows - values from JSON that have been checked
 * @returns counts by number of the window
 */
export const decodeWindows = (
  windows: readonly EncodedWindow[],
): ReadonlyMap<number, WorkspaceCounts> =>
  new Map(windows.map(({ window_seq, counts }) => [window_seq, decodeCounts(counts)]));
