/** Values of one section. An array is written as repeated `key[]` lines, undefined values are omitted. */
export type IniSection = Readonly<
  Record<string, string | number | boolean | readonly string[] | undefined>
>;

/** Sections of an INI file by name. */
export type IniSections = Readonly<Record<string, IniSection>>;

const formatSection = (section: IniSection): readonly string[] =>
  Object.entries(section).flatMap(([key, value]) => {
    if (value === undefined) return [];
    if (typeof value === 'object') return value.map((item) => `${key}[] = ${item}`);
    return [`${key} = ${value}`];
  });

/**
 * Formats an INI file.
 *
 * @param sections - the sections, written in this order
 * @returns the content of the file
 */
export const formatIni = (sections: IniSections): string =>
  Object.entries(sections)
    .map(([name, section]) => [`[${name}]`, ...formatSection(section), ''].join('\n'))
    .join('\n');
