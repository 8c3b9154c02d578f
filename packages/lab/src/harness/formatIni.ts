/** Values of one section; an array becomes repeated `key[]` lines. */
export type IniSection = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** An INI text by section. */
export type IniSections = Readonly<Record<string, IniSection>>;

const formatSection = (section: IniSection): readonly string[] =>
  Object.entries(section).flatMap(([key, value]) => {
    if (value === undefined) return [];
    if (typeof value === 'object') return value.map((item) => `${key}[] = ${item}`);
    return [`${key} = ${value}`];
  });

/**
 * Formats an INI text.
 *
 * @param sections - its sections in order
 * @returns the text
 */
export const formatIni = (sections: IniSections): string =>
  Object.entries(sections)
    .map(([name, section]) => [`[${name}]`, ...formatSection(section), ''].join('\n'))
    .join('\n');
