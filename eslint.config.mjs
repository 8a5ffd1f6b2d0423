import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Which layer may import which: the first may not reach into any of the second. */
const LAYER_RULE = [
  ['src/protocol', ['src/state', 'src/coordination', 'src/transport', 'src/daemon', 'src/cli']],
  ['src/state', ['src/coordination', 'src/transport', 'src/daemon', 'src/cli']],
  ['src/coordination', ['src/transport', 'src/daemon', 'src/cli']],
  ['src/transport', ['src/state', 'src/coordination', 'src/daemon', 'src/cli']],
  ['src/cli', ['src/coordination', 'src/state', 'src/daemon']],
  ['src', ['fakes', 'tools', 'bench', 'spec']],
];

export default [
  { ignores: ['dist/**', 'node_modules/**', '.quickstart/**'] },
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.node,
  ...configs.node.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  rules.typescript.typescriptEslintStrict,
  {
    rules: {
      'import-x/extensions': ['error', 'always', { ignorePackages: true }],
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-restricted-paths': [
        'error',
        {
          zones: LAYER_RULE.map(([target, from]) => ({
            target: `./${target}`,
            from: from.map((dir) => `./${dir}`),
          })),
        },
      ],
    },
  },
  {
    files: ['src/coordination/**/*.ts', 'src/state/**/*.ts'],
    ignores: ['**/__tests__/**', 'src/state/StateDataFolder.ts'],
    rules: {
      // Pure cores: time and randomness come in as arguments.
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now' },
        { object: 'Math', property: 'random' },
        { object: 'performance', property: 'now' },
      ],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate'],
    },
  },
  prettier,
];
