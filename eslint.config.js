import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Modules that use timers or I/O; decision modules get these passed in. */
const IMPURE = [
  'node:net',
  'node:http',
  'node:fs',
  'node:dgram',
  'node:timers',
  'node:timers/promises',
  '@hapi/*',
];

/** Modules that start processes or threads or share memory; never used. */
const FORBIDDEN = [
  'node:child_process',
  'node:cluster',
  'node:worker_threads',
  'child_process',
  'cluster',
  'worker_threads',
];

const NAMESPACE_IMPORTS = [
  {
    selector: 'ImportSpecifier, ImportDefaultSpecifier',
    message: 'Use a namespace import (import * as name from ...).',
  },
  {selector: 'TSEnumDeclaration', message: 'Use a union of string literals.'},
  {
    selector: 'ExportDefaultDeclaration',
    message: 'Use a named export.',
  },
];

export default tseslint.config(
  {ignores: ['**/dist/**', '**/target/**', '**/node_modules/**']},
  eslint.configs.recommended,
  ...tseslint.configs.strictTypeChecked,
  {
    languageOptions: {
      parserOptions: {
        projectService: {
          allowDefaultProject: ['*.js', 'tools/*.js', 'tools/*.cjs'],
        },
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      curly: 'error',
      eqeqeq: 'error',
      'prefer-const': 'error',
      'no-var': 'error',
      'no-restricted-syntax': ['error', ...NAMESPACE_IMPORTS],
      'no-restricted-imports': ['error', {patterns: FORBIDDEN}],
      // Some libraries type classes by structure, such as winston's Console.
      '@typescript-eslint/no-unsafe-class-instance-assignment': 'off',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        {allowNumber: true},
      ],
      '@typescript-eslint/no-confusing-void-expression': [
        'error',
        {ignoreArrowShorthand: true},
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        {argsIgnorePattern: '^_', varsIgnorePattern: '^_'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        // Methods of the wire protocol have names in snake case.
        {
          selector: 'objectLiteralMethod',
          format: ['camelCase', 'snake_case'],
        },
        // The cases of purify-ts's Either and Maybe are in Pascal case.
        {
          selector: 'objectLiteralMethod',
          filter: {regex: '^(Left|Right|Just|Nothing)$', match: true},
          format: null,
        },
        {
          selector: ['function', 'method', 'parameter'],
          format: ['camelCase'],
          leadingUnderscore: 'allow',
        },
        {
          selector: 'variable',
          format: ['camelCase', 'UPPER_CASE'],
          leadingUnderscore: 'allow',
        },
      ],
    },
  },
  {
    files: ['packages/decisions/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {patterns: [...FORBIDDEN, ...IMPURE]}],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval'],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now'},
        {object: 'performance', property: 'now'},
        {object: 'Math', property: 'random'},
      ],
    },
  },
  {
    files: ['packages/*/tests/**/*.ts', 'platform/tests/**/*.ts'],
    rules: {
      // Tests start gateway processes; chai's assertions are expressions.
      'no-restricted-imports': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-unsafe-assignment': 'off',
      '@typescript-eslint/no-unsafe-member-access': 'off',
      '@typescript-eslint/no-unsafe-argument': 'off',
    },
  },
  {
    // The soak starts, signals and kills gateway processes.
    files: ['packages/soak/src/**/*.ts'],
    rules: {'no-restricted-imports': 'off'},
  },
  {
    files: ['**/*.js', '**/*.cjs'],
    ...tseslint.configs.disableTypeChecked,
    rules: {
      ...tseslint.configs.disableTypeChecked.rules,
      // Build tools are not part of the product and may run other programs.
      'no-restricted-imports': 'off',
      'no-restricted-syntax': 'off',
      'no-undef': 'off',
      '@typescript-eslint/no-require-imports': 'off',
    },
  },
);
