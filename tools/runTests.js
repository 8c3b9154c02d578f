import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { finished } from 'node:stream/promises';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';
import { parseArgs } from 'node:util';

/** Runs all compiled tests, or those whose path contains one of the arguments. */

const MAX_PARALLEL_FILES = 4;

/** Tests of crowds of clients measure the memory of a process: each file runs by itself, after all others. */
const CROWD_FILE = /[\\/]hostile[^\\/]*\.test\.js$/;

const TEST_TIMEOUT_MS = 600_000;

/** Lists the tests that fail for a known fault. Their failures are printed and do not fail the run. */
const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';

const listTests = (folder) =>
  readdirSync(folder, { recursive: true, withFileTypes: true })
    .filter((entry) => entry.isFile() && entry.name.endsWith('.test.js'))
    .map((entry) => join(entry.parentPath ?? entry.path, entry.name));

/** Reads the names of the tests that may fail: the first quoted text of each entry that begins with `- test`. */
const readKnownFailures = () => {
  if (!existsSync(KNOWN_FAILURES_FILE)) return new Set();
  const text = readFileSync(KNOWN_FAILURES_FILE, 'utf8');
  return new Set([...text.matchAll(/^- test "([^"]+)"/gm)].map((match) => match[1]));
};

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

const knownFailures = readKnownFailures();

const runFiles = (groupFiles, concurrency) => {
  if (groupFiles.length === 0) return Promise.resolve();
  const output = run({ files: groupFiles, concurrency, timeout: TEST_TIMEOUT_MS })
    .on('test:fail', ({ name }) => {
      if (knownFailures.has(name)) console.log(`Known failure (${KNOWN_FAILURES_FILE}): ${name}`);
      else process.exitCode = 1;
    })
    .compose(new spec());
  output.pipe(process.stdout, { end: false });
  return finished(output, { writable: false });
};

const isCrowdFile = (file) => CROWD_FILE.test(file);
await runFiles(
  files.filter((file) => !isCrowdFile(file)),
  MAX_PARALLEL_FILES,
);
await runFiles(files.filter(isCrowdFile), 1);
