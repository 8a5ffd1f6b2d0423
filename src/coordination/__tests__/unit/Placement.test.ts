import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  decidePlacement,
  initEstimate,
  rankLoads,
  skewOf,
  updateEstimate,
  type PlacementEstimate,
  type PlacementMap,
  type PlacementPolicy,
} from '../../index.js';

const EXPERTS = 32;
const RANKS = 8;
const SLOTS = 6;

const MAP: PlacementMap = Array.from({ length: RANKS }, (_rank, rank) =>
  Array.from({ length: SLOTS }, (_slot, slot) => (rank * 4 + slot) % EXPERTS),
);

const policy = (skewWeight: number, maxMoves = 64): PlacementPolicy => ({
  skewWeight,
  stepMs: 8,
  stableSteps: 2_000,
  moveMs: 40,
  maxMoves,
  speeds: Array.from({ length: RANKS }, () => 1),
});

const zipf = (rotation: number): readonly number[] =>
  Array.from({ length: EXPERTS }, (_expert, i) => 1_000 / (((i + rotation) % EXPERTS) + 1));

function estimateFrom(load: readonly number[], intervals: number): PlacementEstimate {
  return Array.from({ length: intervals }).reduce<PlacementEstimate>(
    (estimate) => updateEstimate(estimate, load),
    initEstimate(EXPERTS),
  );
}

describe('decidePlacement', () => {
  it('reduces the skew of a skewed load', () => {
    const { skewBefore, skewAfter, reason } = decidePlacement(
      MAP,
      estimateFrom(zipf(0), 8),
      policy(0.8),
    );
    assert.equal(reason, 'improved');
    assert.ok(skewBefore > 2 && skewAfter < 1.25, `${skewBefore} -> ${skewAfter}`);
  });

  // The manifest gives the cost of moving more weight: fewer experts are copied, and more skew remains.
  it('moves fewer experts the lower the skew weight is', () => {
    const estimate = estimateFrom(zipf(0), 8);
    const skewed = decidePlacement(MAP, estimate, policy(0.9));
    const costly = decidePlacement(MAP, estimate, policy(0.02));
    assert.ok(costly.moves.length < skewed.moves.length);
    assert.ok(costly.skewAfter > skewed.skewAfter);
  });

  it('keeps to the moves that the weight store allows', () => {
    assert.ok(decidePlacement(MAP, estimateFrom(zipf(0), 8), policy(0.9, 3)).moves.length <= 3);
  });

  it('gives a slow rank less load', () => {
    const speeds = Array.from({ length: RANKS }, (_rank, i) => (i === 0 ? 0.5 : 1));
    const estimate = estimateFrom(zipf(0), 8);
    const { map } = decidePlacement(MAP, estimate, { ...policy(0.9), speeds });
    const loads = rankLoads(map, estimate.mean, speeds);
    assert.ok(skewOf(loads) < skewOf(rankLoads(MAP, estimate.mean, speeds)));
  });

  // Every expert must be placed, never twice on one rank, and every rank must keep its number of slots: otherwise
  // the group can't answer, or runs out of memory.
  it('keeps every expert placed and the number of slots of every rank', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(1_000), { minLength: EXPERTS, maxLength: EXPERTS }), (load) => {
        const { map } = decidePlacement(MAP, estimateFrom(load, 3), policy(0.9));
        assert.equal(new Set(map.flat()).size, EXPERTS);
        map.forEach((slots) => assert.equal(new Set(slots).size, SLOTS));
      }),
      { seed: 20_261_202, numRuns: 60 },
    );
  });
});
