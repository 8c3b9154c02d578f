import { parseIniDocument } from '../settings/index.js';
import { ChangeKind } from './enums.js';

import type { ChangeView } from './types.js';

const toText = (value: unknown): string =>
  Array.isArray(value) ? value.map(String).join(', ') : String(value);

const collectLines = (
  lines: Map<string, string>,
  values: Readonly<Record<string, unknown>>,
  prefix: string,
): void => {
  for (const [name, value] of Object.entries(values)) {
    const key = `${prefix}${name}`;
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
      lines.set(key, toText(value));
      continue;
    }
    collectLines(lines, value as Readonly<Record<string, unknown>>, `${key}.`);
  }
};

const indexText = (text: string): ReadonlyMap<string, string> => {
  const lines = new Map<string, string>();
  collectLines(lines, parseIniDocument(text).values, '');
  return lines;
};

const compareKey = (
  key: string,
  before: string | undefined,
  after: string | undefined,
): ChangeView | undefined => {
  if (before === after) return undefined;
  if (before === undefined) return { kind: ChangeKind.Added, key, after };
  if (after === undefined) return { kind: ChangeKind.Removed, key, before };
  return { kind: ChangeKind.Changed, key, before, after };
};

/**
 * Compares two INI texts by their values; order, spacing and comments do not count.
 *
 * @param before - the old text
 * @param after - the new text
 * @returns the keys that were added, removed or changed, by name
 */
export const compareTexts = (before: string, after: string): readonly ChangeView[] => {
  const oldLines = indexText(before);
  const newLines = indexText(after);
  const keys = [...new Set([...oldLines.keys(), ...newLines.keys()])].sort();
  return keys.flatMap((key) => compareKey(key, oldLines.get(key), newLines.get(key)) ?? []);
};
