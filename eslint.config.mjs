import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import relay from './scripts/lint/plugin.mjs';

export default [
  {
    ignores: [
      '**/dist/**',
      'target/**',
      'journal/**',
      'node_modules/**',
      'bench/results/**',
      'coverage/**',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  prettier,
  {
    files: ['**/*.ts'],
    languageOptions: { parserOptions: { projectService: false, project: './tsconfig.json' } },
    rules: { '@typescript-eslint/no-floating-promises': 'error' },
  },
  {
    plugins: { relay },
    rules: {
      // Named exports: a name is the same everywhere, and `index.ts` lists them.
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'off',
      'import-x/no-useless-path-segments': 'off',
      // Imports carry `.js`, as Node's resolution asks; the compiler checks them.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-cycle': 'off',
      'import-x/no-rename-default': 'off',
      // Tasks are written straight down: loops that await are the rule here.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-constant-condition': ['error', { checkLoops: false }],
      // Functions are declared at the end of a file, after what calls them.
      'no-use-before-define': 'off',
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
      // A const and a type may share a name (schema and its type).
      '@typescript-eslint/no-redeclare': 'off',
      'no-redeclare': 'off',
      'no-console': 'off',
      'no-param-reassign': ['error', { props: false }],
      'no-void': ['error', { allowAsStatement: true }],
      'max-lines': ['error', { max: 300, skipBlankLines: true, skipComments: true }],
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      'n/no-sync': 'off',
      'func-names': 'off',
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/index.ts'],
    rules: { 'relay/one-export': 'error', 'relay/function-verb': 'error' },
  },
  {
    files: ['packages/{core,config,control,link,agent,entry,routing,fleet}/src/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'fetch'],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Use the Clock argument.' },
        { object: 'Math', property: 'random', message: 'Use the Random argument.' },
      ],
      'no-restricted-imports': [
        'error',
        { patterns: ['node:fs*', 'node:net', 'node:child_process'] },
      ],
    },
  },
];
