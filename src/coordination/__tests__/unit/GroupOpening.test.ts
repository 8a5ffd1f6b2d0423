import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { isOpening, type OpeningView } from '../../index.js';

const FORMED: OpeningView = {
  usesFirstMap: true,
  formedAt: 10_000,
  plannedAt: 4_000,
  hasDemand: true,
  phase: 'observing',
};

describe('isOpening', () => {
  // A group opens after an outage of six seconds, and a hundred callers wait. Let in at once they would meet the
  // first map, with three times the mean on one rank, and all be late.
  it('keeps a group closed until its ranks are told to take an even map', () => {
    const planned = { ...FORMED, plannedAt: 10_080 };
    const seen = [
      isOpening(FORMED, 10_050),
      ...(['preparing', 'holding', 'arming', 'releasing', 'idle'] as const).map((phase) =>
        isOpening({ ...planned, phase }, 10_400),
      ),
    ];
    assert.deepEqual(seen, [true, true, true, true, false, false]);
  });

  it('opens at once where no demand is known or no plan is better', () => {
    assert.equal(isOpening({ ...FORMED, hasDemand: false }, 10_050), false);
    assert.equal(isOpening({ ...FORMED, plannedAt: 10_080, phase: 'idle' }, 10_100), false);
  });

  // One rank doesn't answer the order to copy. Callers lose their last try within a second or two.
  it('opens in bounded time whatever becomes of the map', () => {
    const stuck = { ...FORMED, plannedAt: 10_080, phase: 'preparing' } as const;
    assert.equal(isOpening(stuck, 10_700), true);
    assert.equal(isOpening(stuck, 10_701), false);
  });

  it('does not close a group for later changes of its map', () => {
    const later = {
      ...FORMED,
      usesFirstMap: false,
      plannedAt: 10_300,
      phase: 'preparing',
    } as const;
    assert.equal(isOpening(later, 10_400), false);
  });
});
