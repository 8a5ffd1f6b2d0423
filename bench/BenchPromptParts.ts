/** How many endpoints a part of prompts crashes before it is held back, and how many sound requests are with it. */
import { report } from './BenchReport.js';
import { simulatePromptParts, type PromptPartsShape } from './BenchPromptPartsModel.js';

const SEEDS = 5;

/** A usual deployment, of which each case changes some parameters. */
export const PROMPT_PARTS_SHAPE: PromptPartsShape = {
  entries: 6,
  endpoints: 12,
  isGroup: true,
  inProgress: 4,
  firstParts: 60,
  secondParts: 200,
  forgedParts: 0,
  commonParts: 0,
  fatalParts: 1,
  fatalPerSecond: 2,
  isTied: false,
  fatalFromMs: 10_000,
  soundFromMs: 0,
  isScreened: true,
};

/** Cases by name. */
export const PROMPT_PARTS_CASES: Readonly<Record<string, Partial<PromptPartsShape>>> = {
  usual: {},
  'one in progress': { inProgress: 1 },
  '100 in progress': { inProgress: 100 },
  'two parts': { fatalParts: 2 },
  '30 forged parts': { forgedParts: 30 },
  'with one first part': { isTied: true },
  'from the start': { fatalFromMs: 0 },
  'common parts': { commonParts: 30 },
  'common parts, from the start': { commonParts: 30, fatalFromMs: 0 },
  'common parts, before sound requests': {
    commonParts: 30,
    fatalFromMs: 0,
    soundFromMs: 5_000,
    fatalPerSecond: 5,
  },
  'not screened': { isScreened: false },
};

/** Prints one line per case, for ranks of a group and for single endpoints. */
export async function benchPromptParts(seed: number): Promise<void> {
  [true, false].forEach((isGroup) => {
    Object.entries(PROMPT_PARTS_CASES).forEach(([name, change]) => {
      const outcomes = Array.from({ length: SEEDS }, (_item, i) =>
        simulatePromptParts({ ...PROMPT_PARTS_SHAPE, ...change, isGroup }, seed + i),
      );
      const sum = (key: keyof (typeof outcomes)[number]): number =>
        outcomes.reduce((total, outcome) => total + outcome[key], 0);
      report('prompt-parts', {
        seed,
        runs: SEEDS,
        name,
        isGroup,
        crashes: sum('crashes'),
        mostCrashes: Math.max(...outcomes.map(({ crashes }) => crashes)),
        lateArrivals: sum('lateArrivals'),
        sound: sum('sound'),
        wronglyHeld: sum('wronglyHeld'),
      });
    });
  });
}
