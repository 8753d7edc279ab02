import {createRequire} from 'node:module';
import {sycamoreheadPlugin} from './tools/eslint/plugin.mjs';

const gts = createRequire(import.meta.url)('gts');

export default [
  {
    ignores: [
      '**/dist/',
      'bin/',
      'target/',
      'node_modules/',
      'bench-results/',
      'scripts/',
      'tools/',
      '*.mjs',
    ],
  },
  ...gts,
  {
    files: ['packages/**/*.ts', 'apps/**/*.ts', 'platform/**/*.ts'],
    plugins: {sycamorehead: sycamoreheadPlugin},
    languageOptions: {
      parserOptions: {
        project: null,
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      'sycamorehead/function-verb': 'error',
      'sycamorehead/import-direction': 'error',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-process-exit': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports.',
        },
        {
          selector: 'ExportAllDeclaration',
          message: 'List exports by name.',
        },
      ],
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            {from: 'package', package: 'node:test', name: ['test', 'suite']},
          ],
        },
      ],
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^unused'},
      ],
    },
  },
];
