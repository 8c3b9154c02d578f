import { ChangeKind } from '@sardinegrade/common';

import { formatTime } from './format.js';
import { renderTable } from './renderTable.js';

import type { ChangeView, GenerationView } from '@sardinegrade/common';

/** Output format of each kind of change. */
const CHANGE_RENDERERS: Readonly<Record<ChangeKind, (change: ChangeView) => string>> = {
  [ChangeKind.Added]: ({ key, after }) => `+ ${key} = ${after ?? ''}`,
  [ChangeKind.Removed]: ({ key, before }) => `- ${key} = ${before ?? ''}`,
  [ChangeKind.Changed]: ({ key, before, after }) => `~ ${key} = ${before ?? ''} -> ${after ?? ''}`,
};

/**
 * Renders the differences between two configuration texts.
 *
 * @param changes - the keys that differ
 * @returns one line for each key
 */
export const renderChanges = (changes: readonly ChangeView[]): string => {
  if (changes.length === 0) return 'No difference.';
  return changes.map((change) => CHANGE_RENDERERS[change.kind](change)).join('\n');
};

/**
 * Renders the configuration history.
 *
 * @param entries - generations, newest first
 * @returns a table
 */
export const renderHistory = (entries: readonly GenerationView[]): string =>
  renderTable(
    ['GENERATION', 'TEXT OF', 'AT', 'AUTHOR'],
    entries.map((entry) => [
      String(entry.generation),
      String(entry.text_generation),
      formatTime(entry.at_ms),
      entry.author,
    ]),
  );
