/** Seeds whose run once failed because of a fault of the product, with the cause; CI runs them again. */

/** A seed that failed. */
export interface SoakRegression {
  readonly seed: number;
  readonly cause: string;
}

export const REGRESSIONS: readonly SoakRegression[] = [
  {
    seed: 2,
    cause:
      'an entry host disconnected from the control plane rejected a key as unknown that had just been added',
  },
];
