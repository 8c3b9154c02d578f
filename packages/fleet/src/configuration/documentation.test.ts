import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';

import { DEFAULTS } from './constants.js';
import { parseConfiguration } from './parseConfiguration.js';
import { SECTION_SCHEMAS } from './schema.js';

const PAGE = readFileSync(new URL('../../../../docs/CONFIGURATION.md', import.meta.url), 'utf8');

interface Row {
  readonly section: string;
  readonly key: string;
  readonly defaultText: string;
}

const readRows = (): readonly Row[] => {
  const table = PAGE.split('<!-- keys -->')[1]?.split('<!-- /keys -->')[0] ?? '';
  const rows = table.split('\n').filter((line) => line.startsWith('|'));
  return rows.slice(2).map((line) => {
    const cells = line.split('|').map((cell) => cell.trim().replaceAll('`', ''));
    return {
      section: cells[1] ?? '',
      key: (cells[2] ?? '').replace('[]', ''),
      defaultText: cells.at(-2) ?? '',
    };
  });
};

for (const [section, schema] of Object.entries(SECTION_SCHEMAS)) {
  test(`the page lists every key and default of section ${section}`, () => {
    const rows = readRows().filter((row) => row.section === section);
    const keys = Object.keys(schema.shape).filter((key) => key !== 'class');
    assert.deepEqual(rows.map((row) => row.key).sort(), [...keys].sort());
    const defaults: Readonly<Record<string, string>> =
      section in DEFAULTS ? DEFAULTS[section as keyof typeof DEFAULTS] : {};
    for (const { key, defaultText } of rows) {
      if (key in defaults) assert.equal(defaultText, defaults[key], key);
      else assert.ok(['none', 'required'].includes(defaultText), key);
    }
  });

  test(`the page's required keys of section ${section} are those that the schema requires`, () => {
    const issues = schema.safeParse({}).error?.issues ?? [];
    const missing = issues.map((issue) => String(issue.path[0]));
    const required = readRows().filter(
      (r) => r.section === section && r.defaultText === 'required',
    );
    assert.deepEqual(missing.sort(), required.map((row) => row.key).sort());
  });
}

test("the page's example is accepted", () => {
  const example = PAGE.split('\n')
    .filter((line) => line.startsWith('    '))
    .map((line) => line.trim())
    .join('\n');
  assert.equal(parseConfiguration(example, 1).services.size, 2);
});
