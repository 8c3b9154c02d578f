import { readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { parseArgs } from 'node:util';

/** Runs all compiled tests, or those whose path contains one of the arguments. */

const MAX_PARALLEL_FILES = 4;
const TEST_TIMEOUT_MS = 600_000;

const listTests = (folder) =>
  readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.test.js'))
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name));

const { positionals } = parseArgs({ allowPositionals: true });

const files = readdirSync('packages')
  .map((name) => join('packages', name))
  .concat('platform', 'soak')
  .flatMap((folder) => listTests(join(folder, 'dist')))
  .filter((file) => positionals.length === 0 || positionals.some((word) => file.includes(word)))
  .sort();

if (files.length === 0) {
  console.error('No compiled test file matches.');
  process.exit(1);
}

run({ files, concurrency: MAX_PARALLEL_FILES, timeout: TEST_TIMEOUT_MS })
  .on('test:fail', () => {
    process.exitCode = 1;
  })
  .compose(new spec())
  .pipe(process.stdout);
