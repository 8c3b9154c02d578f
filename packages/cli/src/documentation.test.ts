import assert from 'node:assert/strict';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { test } from 'node:test';

const ROOT = new URL('../../../', import.meta.url);

const LINK = /\]\(([^)#\s]+)(?:#[^)]*)?\)/g;

const listPages = (): readonly string[] => {
  const pages = readdirSync(new URL('docs/', ROOT), { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.md'))
    .map((name) => `docs/${name}`);
  return ['README.md', ...pages];
};

const listBrokenLinks = (page: string): readonly string[] => {
  const address = new URL(page, ROOT);
  const links = [...readFileSync(address, 'utf8').matchAll(LINK)].map((match) => match[1] ?? '');
  return links.filter((link) => !link.includes('://') && !existsSync(new URL(link, address)));
};

for (const page of listPages()) {
  test(`every link in ${page} resolves`, () => {
    assert.deepEqual(listBrokenLinks(page), []);
  });
}
