import type { SettingFault } from '@sardinegrade/common';

const HEADING = /^\s*\[([^\]]+)\]/;
const LIST_SUFFIX = '[]';

/** A section heading and the lines up to the next heading. */
interface SectionText {
  readonly heading: string;
  /** Line number of the heading, starting at 1; 0 for the lines before the first heading. */
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

const COMMENT = /^\s*[;#]/;

const findRepeatedKeys = (section: SectionText): readonly SettingFault[] => {
  const keys = new Set<string>();
  const faults: SettingFault[] = [];
  for (const [index, line] of section.lines.entries()) {
    const key = line.split('=')[0]?.trim() ?? '';
    if (key === '' || key.endsWith(LIST_SUFFIX) || COMMENT.test(line)) continue;
    if (!keys.has(key)) {
      keys.add(key);
      continue;
    }
    faults.push({
      line: section.line + index + 1,
      key: section.heading === '' ? key : `${section.heading}.${key}`,
      message: 'is written twice; keep one, or write a list with [] where the key accepts one',
    });
  }
  return faults;
};

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
 * Finds duplicate sections and keys, of which the INI parser would silently keep only one.
 *
 * @param text - text in INI format
 * @returns one fault per duplicate
 */
export const findDuplicates = (text: string): readonly SettingFault[] => {
  const sections = splitSections(text);
  return [...findRepeatedSections(sections), ...sections.flatMap(findRepeatedKeys)];
};
