/** Seeds at which the product ever failed, each with its cause; they are played again in CI. */

/** A seed that failed. */
export interface SoakRegression {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSIONS: readonly SoakRegression[] = [
  {
    seed: 2,
    cause: 'an entry host cut off from control called a key unknown that had just been added',
  },
];
