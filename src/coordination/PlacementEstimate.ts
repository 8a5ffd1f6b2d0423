/** Estimates each expert's load from counters that lag, drift and are noisy. */

/** Load of the experts of a layer, as shares: the mean over experts is 1. */
export interface PlacementEstimate {
  readonly mean: readonly number[];
  /** Variance of one interval's share around the mean: noise and drift together. */
  readonly variance: readonly number[];
  readonly intervals: number;
}

/** Weight of the newest interval after many intervals: a memory of some four intervals. */
const MIN_WEIGHT = 0.25;

/** Weight of the newest interval after a load shift: the earlier estimate is of little use. */
const SHIFT_WEIGHT = 0.8;

/** Ratio of the squared error to the expected one, over all experts, above which the load has shifted. */
const SHIFT_ERROR_RATIO = 6;

/** Estimate before any interval: even load. */
export function initEstimate(experts: number): PlacementEstimate {
  const evenShares = Array.from({ length: experts }, () => 1);
  return { mean: evenShares, variance: evenShares.map(() => 0), intervals: 0 };
}

function toShares(counts: readonly number[]): readonly number[] {
  const total = counts.reduce((sum, count) => sum + count, 0);
  return counts.map((count) => (total === 0 ? 1 : (count * counts.length) / total));
}

/** Whether the load has shifted: the errors are far above the noise, over all experts together. */
function isLoadShift(estimate: PlacementEstimate, shares: readonly number[]): boolean {
  const expectedError = estimate.variance.reduce((sum, variance) => sum + variance, 0);
  const squaredError = shares.reduce(
    (sum, share, i) => sum + (share - (estimate.mean[i] ?? 1)) ** 2,
    0,
  );
  return estimate.intervals > 2 && squaredError > SHIFT_ERROR_RATIO * expectedError;
}

/** Updates the estimate with the counters of one interval. */
export function updateEstimate(
  estimate: PlacementEstimate,
  counts: readonly number[],
): PlacementEstimate {
  const shares = toShares(counts);
  const steadyWeight = Math.max(MIN_WEIGHT, 1 / (estimate.intervals + 1));
  const weight = isLoadShift(estimate, shares) ? SHIFT_WEIGHT : steadyWeight;
  const errors = shares.map((share, i) => share - (estimate.mean[i] ?? 1));
  return {
    mean: estimate.mean.map((mean, i) => mean + weight * (errors[i] ?? 0)),
    variance: estimate.variance.map((variance, i) =>
      estimate.intervals === 0
        ? 0
        : (1 - steadyWeight) * variance +
          steadyWeight * Math.min((errors[i] ?? 0) ** 2, 4 * variance + 0.01),
    ),
    intervals: estimate.intervals + 1,
  };
}
