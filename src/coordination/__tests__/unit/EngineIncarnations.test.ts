import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { engineAnswered, engineCrashed, FIRST_INCARNATION } from '../../EngineIncarnations.js';

describe('lives of an engine', () => {
  it('end once for all that was in progress', () => {
    const first = engineCrashed(FIRST_INCARNATION, 10, 50);
    assert.equal(first.ordinal, 1);
    assert.equal(engineCrashed(first, 40, 52).ordinal, 1);
  });

  it('begin anew with an answer, or with another end, of what began after the end', () => {
    const first = engineCrashed(FIRST_INCARNATION, 10, 50);
    assert.equal(engineAnswered(first, 49).ordinal, 1);
    assert.equal(engineAnswered(first, 60).ordinal, 2);
    assert.equal(engineCrashed(first, 60, 70).ordinal, 2);
    assert.equal(engineCrashed(engineAnswered(first, 60), 61, 80).ordinal, 2);
  });
});
