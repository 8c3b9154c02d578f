import { parseIniDocument } from '../settings/index.js';
import { ChangeKind } from './enums.js';

import type { ChangeView } from './types.js';

const formatValue = (value: unknown): string =>
  Array.isArray(value) ? value.map(String).join(', ') : String(value);

const collectValues = (
  textByKey: Map<string, string>,
  values: Readonly<Record<string, unknown>>,
  prefix: string,
): void => {
  for (const [name, value] of Object.entries(values)) {
    const key = `${prefix}${name}`;
    if (typeof value !== 'object' || value === null || Array.isArray(value)) {
      textByKey.set(key, formatValue(value));
      continue;
    }
    collectValues(textByKey, value as Readonly<Record<string, unknown>>, `${key}.`);
  }
};

const indexValues = (text: string): ReadonlyMap<string, string> => {
  const textByKey = new Map<string, string>();
  collectValues(textByKey, parseIniDocument(text).values, '');
  return textByKey;
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
 * Compares two INI texts by their values. Key order, whitespace and comments are ignored.
 *
 * @param before - INI text of the older version
 * @param after - INI text of the newer version
 * @returns the keys that were added, removed or changed, sorted by key
 */
export const compareIniTexts = (before: string, after: string): readonly ChangeView[] => {
  const oldValues = indexValues(before);
  const newValues = indexValues(after);
  const keys = [...new Set([...oldValues.keys(), ...newValues.keys()])].sort();
  return keys.flatMap((key) => compareKey(key, oldValues.get(key), newValues.get(key)) ?? []);
};
