import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { engineAnswered, engineCrashed, FIRST_INCARNATION } from '../../EngineIncarnations.js';

describe('EngineIncarnations', () => {
  it('attributes all attempts in progress at a crash to one incarnation', () => {
    const first = engineCrashed(FIRST_INCARNATION, 10, 50);
    assert.equal(first.ordinal, 1);
    assert.equal(engineCrashed(first, 40, 52).ordinal, 1);
  });

  it('starts the next incarnation with an answer or a crash of an attempt that began after the last crash', () => {
    const first = engineCrashed(FIRST_INCARNATION, 10, 50);
    assert.equal(engineAnswered(first, 49).ordinal, 1);
    assert.equal(engineAnswered(first, 60).ordinal, 2);
    assert.equal(engineCrashed(first, 60, 70).ordinal, 2);
    assert.equal(engineCrashed(engineAnswered(first, 60), 61, 80).ordinal, 2);
  });
});
