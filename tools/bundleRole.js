import { mkdirSync, readdirSync, readFileSync, renameSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { resolve } from 'node:path';
import { Script } from 'node:vm';

import { build } from 'esbuild';

/** Maps each package name to its TypeScript entry point, so that the bundle does not need a build first. */
const alias = Object.fromEntries(
  readdirSync('packages').map((name) => [
    `@sardinegrade/${name}`,
    resolve('packages', name, 'src/index.ts'),
  ]),
);

/**
 * Replaces the import of undici with the parts that are used. An esbuild alias would also match the subpaths that
 * undiciClients.cjs requires.
 */
const undiciClients = {
  name: 'undici-clients',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({ path: resolve('tools/undiciClients.cjs') }));
  },
};

const HISTOGRAM_BUILDER = resolve('node_modules/hdr-histogram-js/dist/HistogramBuilder.js');

/** Replaces the import of hdr-histogram-js by the module that is used, without its WebAssembly. */
const histogramBuilder = {
  name: 'histogram-builder',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^hdr-histogram-js$/ }, () => ({ path: HISTOGRAM_BUILDER }));
    onResolve({ filter: /^\.\/wasm$/ }, ({ importer }) =>
      importer === HISTOGRAM_BUILDER ? { path: resolve('tools/noWebAssembly.cjs') } : undefined,
    );
  },
};

/** Replaces the module that reads the chart of leases at run time by the chart itself. */
const leaseChart = {
  name: 'lease-chart',
  setup: ({ onLoad }) => {
    onLoad({ filter: /leaseChart\.ts$/ }, ({ path }) => ({
      contents: `export const LEASE_CHART = ${readFileSync(path.replace('leaseChart.ts', 'lease.json'), 'utf8')};`,
    }));
  },
};

const BUNDLE = resolve('target/role.cjs');

/** Bundles the program that runs on the users' platform into one file, which loads faster than separate modules. */
const { outputFiles } = await build({
  entryPoints: ['platform/src/runRole.ts'],
  outfile: BUNDLE,
  write: false,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  legalComments: 'none',
  alias,
  plugins: [undiciClients, histogramBuilder, leaseChart],
  // Used only to find state charts; the role has that of leases, which is part of the bundle.
  define: { 'import.meta.url': 'undefined' },
  // The loader calls the bundle with what a CommonJS module gets.
  banner: { js: '(function (exports, require, module) {' },
  footer: { js: '})' },
});

const source = outputFiles[0].text;

const requireModule = createRequire(import.meta.url);

/** The flags that the role sets would become part of the cache, which is read before they are set. */
const requireForCache = (name) =>
  name === 'node:v8' ? { setFlagsFromString: () => undefined } : requireModule(name);

// Compiled code of what runs while the bundle is loaded, which starts nothing.
const script = new Script(source, { filename: BUNDLE });
const role = { exports: {} };
script.runInThisContext()(role.exports, requireForCache, role);

/** Replaces a file at once: another process may be reading it. */
const replaceFile = (file, content) => {
  const written = `${file}.${process.pid}`;
  writeFileSync(written, content);
  renameSync(written, file);
};

mkdirSync('target', { recursive: true });
replaceFile(BUNDLE, source);
replaceFile('target/role.cache', script.createCachedData());
replaceFile('target/sardinegradeRole.js', readFileSync('tools/roleLoader.js'));
