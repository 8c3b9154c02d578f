import tseslint from 'typescript-eslint';

import { functionVerb } from './tools/eslint/functionVerb.js';
import { importDownwards } from './tools/eslint/importDownwards.js';

const house = { rules: { 'function-verb': functionVerb, 'import-downwards': importDownwards } };

const USERS_HEADERS =
  '/^(x-(response-seal|not-executed|expect-instance|prompt-prefix|token-counts|weight-versions|kv-hold|kv-backup|pin-ms|key|tenant|deadline-ms|request-priority)|kv-from|kv-fetch)$/i';

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      '**/node_modules/**',
      '**/generated/**',
      'reports/**',
      'target/**',
      'journal/**',
    ],
  },
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts', 'soak/**/*.ts'],
    extends: [tseslint.configs.strictTypeChecked, tseslint.configs.stylisticTypeChecked],
    languageOptions: { parserOptions: { projectService: true } },
    plugins: { house },
    rules: {
      'house/function-verb': 'error',
      'house/import-downwards': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/restrict-template-expressions': ['error', { allowNumber: true }],
      '@typescript-eslint/no-confusing-void-expression': ['error', { ignoreArrowShorthand: true }],
      'no-restricted-exports': ['error', { restrictDefaultExports: { direct: true } }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['packages/**/*.ts'],
    ignores: ['packages/lab/**'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: `Literal[value=${USERS_HEADERS}]`,
          message: "The users' headers are named in platform/ only.",
        },
      ],
    },
  },
  {
    files: ['**/*.test.ts'],
    rules: {
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'describe', 'it'] },
          ],
        },
      ],
    },
  },
  { files: ['**/*.js'], plugins: { house }, rules: { 'house/function-verb': 'error' } },
);
