import { configs, plugins, rules } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Which layer may import which: the first may not reach into any of the second. */
const LAYER_RULE = [
  ['src/protocol', ['src/state', 'src/coordination', 'src/transport', 'src/daemon', 'src/cli']],
  ['src/state', ['src/coordination', 'src/transport', 'src/daemon', 'src/cli']],
  ['src/coordination', ['src/transport', 'src/daemon', 'src/cli']],
  ['src/transport', ['src/state', 'src/coordination', 'src/daemon', 'src/cli']],
  ['src/cli', ['src/coordination', 'src/state', 'src/daemon']],
  ['src', ['platform', 'fakes', 'tools', 'bench', 'spec', 'soak', 'fuzz']],
  ['fakes', ['platform']],
  ['spec', ['platform']],
  ['bench', ['platform']],
];

/** Names of the users' platform: headers, paths and fields that only `platform/` may know. */
const PLATFORM_WORDS = [
  'attempt-id',
  'at-server',
  'deadline-ms',
  'expect-instance',
  'expect-version',
  'instance-id',
  'length-hint',
  'not-executed',
  'prefix-hash',
  'request-urgency',
  'server-leaving',
  'server-limit',
  'server-seal',
  'token-count',
  'weight-versions',
  'apiKeys',
  'coldLeftMs',
  'coldPerS',
  'coldStartS',
  'expertFraction',
  'heartbeatAddr',
  'itlTargetMs',
  'kvCapacity',
  'per_seq_ms',
  'preloaded',
  'sloMs',
  '/laburnumgauge/',
];

const WORDS_PATTERN = PLATFORM_WORDS.join('|').replaceAll('/', '\\u002F');

/** Selectors that find a platform's word in a string, a template or a property's name. */
const PLATFORM_SELECTORS = [
  `Literal[value=/^(${WORDS_PATTERN})/i]`,
  `TemplateElement[value.raw=/${WORDS_PATTERN}/i]`,
  `Identifier[name=/^(${PLATFORM_WORDS.filter((word) => /^\w+$/.test(word)).join('|')})$/]`,
].map((selector) => ({
  selector,
  message: 'a word of the platform: decode it in platform/ into a field of our own',
}));

/** What the style guide itself restricts; the rule takes one list. */
const BASE_SYNTAX = [...configs.base.recommended, ...configs.base.typescript]
  .flatMap(({ rules: own }) => own?.['no-restricted-syntax'] ?? [])
  .filter((option) => typeof option === 'object');

export default [
  { ignores: ['dist/**', 'target/**', 'node_modules/**', '.quickstart/**'] },
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
  {
    files: [
      'src/**/*.ts',
      'fakes/**/*.ts',
      'spec/**/*.ts',
      'bench/**/*.ts',
      'soak/**/*.ts',
      'fuzz/**/*.ts',
    ],
    rules: { 'no-restricted-syntax': ['error', ...BASE_SYNTAX, ...PLATFORM_SELECTORS] },
  },
  prettier,
];
