import { build } from 'esbuild';

/** Bundles the role that runs on the users' platform into one file, which starts faster than a tree of modules. */
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/sardinegradeRole.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  legalComments: 'none',
  // Libraries in CommonJS call require, which a module does not have by itself.
  banner: {
    js: "import { createRequire as createModuleRequire } from 'node:module'; const require = createModuleRequire(import.meta.url);",
  },
});
