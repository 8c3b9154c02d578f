import { readdirSync } from 'node:fs';
import { resolve } from 'node:path';

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

/** Bundles the program that runs on the users' platform into one file, which loads faster than separate modules. */
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/sardinegradeRole.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  legalComments: 'none',
  alias,
  plugins: [undiciClients, histogramBuilder],
  // Bundled CommonJS libraries call require, which is not defined in an ES module.
  banner: {
    js: "import { createRequire as createModuleRequire } from 'node:module'; const require = createModuleRequire(import.meta.url);",
  },
});
