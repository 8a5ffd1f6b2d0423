import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { PROMPT_PARTS_CASES, PROMPT_PARTS_SHAPE } from '../../BenchPromptParts.js';
import { simulatePromptParts, type PromptPartsOutcome } from '../../BenchPromptPartsModel.js';

/** Random runs of each case; more by hand. */
const SEEDS = Number(process.env.PARTS_SEEDS ?? 2);

/** Requests with a fatal part that may reach endpoints later than 3 s after its fifth crash. */
const MAX_LATE_ARRIVALS = 3;

/** Share of the sound requests that may be held back. */
const MAX_WRONGLY_HELD = 0.01;

function outcomesOf(name: string, isGroup: boolean): readonly PromptPartsOutcome[] {
  const shape = { ...PROMPT_PARTS_SHAPE, ...PROMPT_PARTS_CASES[name], isGroup };
  return Array.from({ length: SEEDS }, (_item, i) => simulatePromptParts(shape, 61 + i));
}

describe('parts of prompts that crash endpoints, by simulated time', () => {
  Object.keys(PROMPT_PARTS_CASES)
    .filter((name) => name !== 'not screened' && name !== '100 in progress')
    .forEach((name) => {
      it(`are held back soon, and sound requests hardly ever (${name})`, () => {
        [true, false].forEach((isGroup) => {
          outcomesOf(name, isGroup).forEach(({ lateArrivals, sound, wronglyHeld }) => {
            assert.ok(lateArrivals <= MAX_LATE_ARRIVALS, `${lateArrivals} late`);
            assert.ok(wronglyHeld <= sound * MAX_WRONGLY_HELD, `${wronglyHeld} of ${sound} held`);
          });
        });
      });
    });

  it('go on to crash endpoints where they are not suspected', () => {
    assert.throws(() =>
      outcomesOf('not screened', true).forEach(({ lateArrivals }) =>
        assert.ok(lateArrivals <= MAX_LATE_ARRIVALS),
      ),
    );
  });
});
