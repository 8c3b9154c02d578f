import tseslint from 'typescript-eslint';

import { functionVerb } from './tools/eslint/functionVerb.js';
import { importDownwards } from './tools/eslint/importDownwards.js';

const house = { rules: { 'function-verb': functionVerb, 'import-downwards': importDownwards } };

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
