import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tsdoc from 'eslint-plugin-tsdoc';

// A layer may import itself and the layers named here; the linter refuses all others.
const LAYERS = {
  state: [],
  protocol: ['state'],
  coordination: ['state', 'protocol'],
  transport: ['state', 'protocol'],
  app: ['state', 'protocol', 'coordination', 'transport'],
  cli: ['state', 'protocol', 'coordination', 'transport', 'app'],
};

const boundaries = Object.entries(LAYERS)
  .map(([layer, allowed]) => ({
    target: `./src/${layer}`,
    from: Object.keys(LAYERS)
      .filter((other) => other !== layer && !allowed.includes(other))
      .map((other) => `./src/${other}`),
    message: `src/${layer} may import only: ${[layer, ...allowed].join(', ')}`,
  }))
  .filter(({ from }) => from.length > 0)
  // An adapter is known to the start of its program only, which stands beside it.
  .concat({
    target: './src',
    from: ['./platform'],
    message: 'src may not import an adapter',
  });

export default [
  { ignores: ['dist/**', 'target/**', 'journal/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    files: ['**/*.ts'],
    plugins: { tsdoc },
    rules: {
      'tsdoc/syntax': 'error',
      'import-x/no-restricted-paths': ['error', { zones: boundaries }],
      // One main export per file by name, as the style page asks; a default export would hide it.
      'import-x/prefer-default-export': 'off',
      // Explicit .ts endings let Node's resolver, tsx and esbuild agree.
      'import-x/extensions': 'off',
      // A folder's index.ts is imported by its full name, like every other file.
      'import-x/no-useless-path-segments': ['error', { noUselessIndex: false }],
      'import-x/no-cycle': 'error',
      'no-restricted-imports': [
        'error',
        {
          paths: [
            { name: 'effect', message: 'Import a submodule: the index costs 150 MB of memory.' },
            {
              name: '@oclif/core',
              allowTypeImports: true,
              message: 'Import a submodule: the index reads its package.json from disk.',
            },
          ],
        },
      ],
      // Schemas and the types inferred from them share one name.
      '@typescript-eslint/no-redeclare': 'off',
      // The recursion over data that the codebase uses needs hoisted helper functions.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      // Tagged unions carry effect's `_tag`.
      'no-underscore-dangle': ['error', { allow: ['_tag'] }],
      // A machine changes the records of its own tables in place.
      'no-param-reassign': [
        'error',
        {
          props: true,
          ignorePropertyModificationsFor: ['record', 'entry', 'state', 'ticket', 'question'],
        },
      ],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['**/*.test.ts', 'test/**', 'measure/**', 'scripts/**', '*.config.mjs'],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-console': 'off',
      'n/no-sync': 'off',
      'no-await-in-loop': 'off',
      // Scripts in .mjs run without a loader, so they name their neighbours with the ending.
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      // Steps that must follow one another in a test or a measurement read best as a loop.
      'no-restricted-syntax': 'off',
      '@typescript-eslint/no-floating-promises': 'off',
    },
  },
];
