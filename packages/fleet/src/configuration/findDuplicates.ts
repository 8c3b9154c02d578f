import { parse } from 'ini';

import type { SettingFault } from '@sardinegrade/common';

const HEADING = /^\s*\[([^\]]+)\]/;
const LIST_SUFFIX = '[]';

/** The lines between one section heading and the next. */
interface SectionText {
  readonly heading: string;
  /** Line of the heading, counted from 1. */
  readonly line: number;
  readonly lines: readonly string[];
}

const splitSections = (text: string): readonly SectionText[] => {
  const sections: { heading: string; line: number; lines: string[] }[] = [
    { heading: '', line: 0, lines: [] },
  ];
  for (const [index, line] of text.split(/\r?\n/).entries()) {
    const heading = HEADING.exec(line)?.[1]?.trim();
    if (heading === undefined) sections.at(-1)?.lines.push(line);
    else sections.push({ heading, line: index + 1, lines: [] });
  }
  return sections;
};

const findLastLine = (section: SectionText, key: string): number => {
  const offset = section.lines.findLastIndex((line) => line.split('=')[0]?.trim() === key);
  return section.line + offset + 1;
};

const findRepeatedKeys = (section: SectionText): readonly SettingFault[] =>
  // The library numbers duplicates over the whole text, so that each section is read by itself.
  Object.entries(parse(section.lines.join('\n'), { bracketedArray: false }))
    .filter(([key, value]) => Array.isArray(value) && !key.endsWith(LIST_SUFFIX))
    .map(([key]) => ({
      line: findLastLine(section, key),
      key: section.heading === '' ? key : `${section.heading}.${key}`,
      message: 'is written twice; keep one, or write a list with [] where the key accepts one',
    }));

const findRepeatedSections = (sections: readonly SectionText[]): readonly SettingFault[] => {
  const firstLines = new Map<string, number>();
  const faults: SettingFault[] = [];
  for (const { heading, line } of sections) {
    const first = firstLines.get(heading);
    if (first === undefined) firstLines.set(heading, line);
    else faults.push({ line, key: heading, message: `section stands at line ${first} already` });
  }
  return faults;
};

/**
 * Finds sections and keys that are written twice, of which one would be lost silently.
 *
 * @param text - an INI text
 * @returns a fault for each of them
 */
export const findDuplicates = (text: string): readonly SettingFault[] => {
  const sections = splitSections(text);
  return [...findRepeatedSections(sections), ...sections.flatMap(findRepeatedKeys)];
};
