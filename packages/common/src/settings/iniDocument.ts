import { parse } from 'ini';

/** A parsed INI text with the line number of each key. */
export interface IniDocument {
  /** Sections nested by the dots in their names; values are strings, string arrays or booleans. */
  readonly values: Readonly<Record<string, unknown>>;
  /**
   * Finds the line of a key or section.
   *
   * @param path - section names and key, outermost first
   * @returns the line, counted from 1, of the key or of its nearest enclosing section; 1 if neither
   * exists
   */
  readonly findLine: (path: readonly PropertyKey[]) => number;
}

const SECTION = /^\s*\[([^\]]+)\]/;
const KEY = /^\s*([^=;#[\]\s]+)(?:\[\])?\s*(?:=|$)/;

const indexLines = (text: string): ReadonlyMap<string, number> => {
  const lines = new Map<string, number>();
  let section = '';
  let number = 0;
  for (const line of text.split(/\r?\n/)) {
    number += 1;
    const heading = SECTION.exec(line)?.[1]?.trim();
    if (heading !== undefined) {
      section = heading;
      if (!lines.has(section)) lines.set(section, number);
      continue;
    }
    const key = KEY.exec(line)?.[1];
    if (key === undefined) continue;
    const path = section === '' ? key : `${section}.${key}`;
    if (!lines.has(path)) lines.set(path, number);
  }
  return lines;
};

/**
 * Parses an INI text and indexes the line numbers of its keys.
 *
 * @param text - the content of an INI file
 * @returns the nested values and a lookup from path to line number
 */
export const parseIniDocument = (text: string): IniDocument => {
  const lines = indexLines(text);
  const findLine = (path: readonly PropertyKey[]): number => {
    for (let length = path.length; length > 0; length -= 1) {
      const line = lines.get(path.slice(0, length).map(String).join('.'));
      if (line !== undefined) return line;
    }
    return 1;
  };
  return { values: parse(text), findLine };
};
